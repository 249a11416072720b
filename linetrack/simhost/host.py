"""Many balancer instances behind one pair of streams."""

from __future__ import annotations

import sys
import traceback
from typing import TextIO

from linetrack.policy.events import EndpointEntry, EndpointListUpdate, ListForm
from linetrack.policy.balancer import Balancer
from linetrack.simhost import wire
from linetrack.simhost.settings import from_pairs
from linetrack.simhost.wire import EVENTS, FORMS, Fields, WireError


class Host:
    """Feeds each instance its own events and collects the reply lines, in order."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source = source
        self.sink = sink
        self.lines_read = 0
        self.now = 0
        self.instances: dict[str, Balancer] = {}
        self.lists: dict[int, tuple[EndpointEntry, ...]] = {}
        self.reply: list[str] = []

    def run(self) -> int:
        """Serve until the input ends; returns the exit status."""
        line = ""
        try:
            while line := self._line():
                self._batch(line)
                self.sink.write("".join(text + "\n" for text in self.reply) + "END\n")
                self.sink.flush()
        except WireError as fault:
            shown = line if len(line) < 200 else line[:200] + "..."
            print(f"simhost: line {self.lines_read}: {fault} (batch: {shown})", file=sys.stderr)
            return 2
        return 0

    def _line(self) -> str:
        """The next line that is not blank, or '' at the end of input."""
        for line in self.source:
            self.lines_read += 1
            line = line.rstrip("\n")
            if line:
                return line
        return ""

    def _batch(self, line: str) -> None:
        name, fields = wire.split(line)
        if name != "TICK":
            raise WireError(f"a batch opens with TICK, not {name!r}")
        self.now = wire.whole(fields, "clockUs")
        self.reply = []
        while True:
            line = self._line()
            if not line:
                raise WireError("the input ends inside a batch")
            if line == "YOUR_TURN":
                return
            self._message(line)

    def _message(self, line: str) -> None:
        if line.startswith("ENLIST "):
            self._enlist(line)
            return
        name, fields = wire.split(line)
        if name == "INVENTORY":
            self._inventory(fields)
            return
        instance = wire.text(fields, "i")
        if name == "EXIT":
            self.instances.pop(instance, None)
            return
        if instance not in self.instances:
            raise WireError(f"{name} for {instance!r}, which was not enlisted")
        if name == "MEMBERSHIP":
            self._deliver(instance, self._news(fields))
        elif name in EVENTS:
            self._deliver(instance, EVENTS[name](fields))
        else:
            raise WireError(f"{name!r} is no known message")

    def _enlist(self, line: str) -> None:
        """`bootInfo` has no name and fills the line, so its paths stand among the fields."""
        _, fields = wire.split(line.replace(" bootInfo=", " ", 1))
        instance = wire.text(fields, "i")
        seed = wire.whole(fields, "entropy")
        self.instances[instance] = Balancer(from_pairs(fields), seed)

    def _inventory(self, fields: Fields) -> None:
        entries = []
        for _ in range(wire.whole(fields, "lines")):
            name, entry = wire.split(self._line() or "?")
            if name != "M":
                raise WireError(f"an inventory entry starts with M, not {name!r}")
            entries.append(wire.entry(entry))
        self.lists[wire.whole(fields, "slot")] = tuple(entries)

    def _news(self, fields: Fields) -> EndpointListUpdate:
        form = wire.text(fields, "form")
        if form not in FORMS:
            raise WireError(f"form={form!r} is no known form")
        if FORMS[form] is ListForm.REJECTED:
            return EndpointListUpdate(ListForm.REJECTED)
        slot = wire.whole(fields, "slot")
        if slot not in self.lists:
            raise WireError(f"slot={slot} holds no inventory")
        return EndpointListUpdate(FORMS[form], self.lists[slot])

    def _deliver(self, instance: str, event: object) -> None:
        try:
            actions = self.instances[instance].handle(self.now, event)  # type: ignore[arg-type]
        except Exception as fault:  # the decisions failed: say so on the wire, as it asks
            traceback.print_exc(file=sys.stderr)
            what = " ".join(f"{type(fault).__name__}: {fault}".split())
            self.reply.append(f"GIVE_IN i={instance} what={what}")
            return
        for action in actions:
            self.reply.append(wire.format_action(instance, action))
