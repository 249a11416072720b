"""Runs many instances of the policy on one input and one output stream."""

from __future__ import annotations

import sys
import traceback
from typing import TextIO

from linetrack.policy.balancer import Balancer
from linetrack.policy.events import EndpointEntry, EndpointListUpdate, Event, ListForm
from linetrack.simhost import wire
from linetrack.simhost.fields import Fields, InvalidFieldError, WireError, split_line
from linetrack.simhost.settings import parse_settings

EXIT_INVALID_INPUT = 2
MAX_SHOWN_LINE_LENGTH = 200


class Host:
    """Passes each event to its instance and collects the lines of the reply, in order."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source = source
        self.sink = sink
        self.lines_read = 0
        self.now = 0
        self.instances: dict[str, Balancer] = {}
        self.entries_by_slot: dict[int, tuple[EndpointEntry, ...]] = {}
        self.reply: list[str] = []

    def run(self) -> int:
        """Process batches until the input ends; return the exit status."""
        line = ""
        try:
            while line := self._next_line():
                self._handle_batch(line)
                self.sink.write("".join(text + "\n" for text in self.reply) + f"{wire.REPLY_END}\n")
                self.sink.flush()
        except WireError as error:
            shown = line if len(line) < MAX_SHOWN_LINE_LENGTH else line[:MAX_SHOWN_LINE_LENGTH] + "..."
            print(f"simhost: line {self.lines_read}: {error} (batch: {shown})", file=sys.stderr)
            return EXIT_INVALID_INPUT
        return 0

    def _next_line(self) -> str:
        """Return the next line that is not blank, or '' at the end of the input."""
        for line in self.source:
            self.lines_read += 1
            line = line.rstrip("\n")
            if line:
                return line
        return ""

    def _handle_batch(self, first_line: str) -> None:
        self.now = wire.parse_batch_start(first_line)
        self.reply = []
        while (line := self._next_line()) != wire.BATCH_END:
            if not line:
                raise WireError("the input ends inside a batch")
            self._handle_message(line)

    def _handle_message(self, line: str) -> None:
        if line.startswith(wire.INSTANCE_START_PREFIX):
            self._start_instance(line)
            return
        name, fields = split_line(line)
        if name == wire.ENDPOINT_ENTRIES:
            self._store_entries(fields)
            return
        instance = wire.parse_instance_name(fields)
        if name == wire.INSTANCE_EXIT:
            self.instances.pop(instance, None)
            return
        if instance not in self.instances:
            raise WireError(f"{name} for the instance {instance!r}, which was not enlisted")
        if name == wire.ENDPOINT_LIST_UPDATE:
            self._deliver(instance, self._endpoint_list_update(fields))
        elif parse := wire.EVENT_PARSERS.get(name):
            self._deliver(instance, parse(fields))
        else:
            raise WireError(f"{name!r} is not a known message")

    def _start_instance(self, line: str) -> None:
        instance, seed, settings = wire.parse_instance_start(line)
        self.instances[instance] = Balancer(parse_settings(settings), seed)

    def _store_entries(self, fields: Fields) -> None:
        """Store endpoint entries, which are sent before the list updates that refer to them."""
        count = wire.parse_entry_count(fields)
        entries = tuple(wire.parse_entry(self._next_line()) for _ in range(count))
        self.entries_by_slot[wire.parse_slot(fields)] = entries

    def _endpoint_list_update(self, fields: Fields) -> EndpointListUpdate:
        form = wire.parse_list_form(fields)
        if form is ListForm.REJECTED:
            return EndpointListUpdate(form)
        slot = wire.parse_slot(fields)
        if slot not in self.entries_by_slot:
            raise InvalidFieldError("slot", slot, "has no stored inventory")
        return EndpointListUpdate(form, self.entries_by_slot[slot])

    def _deliver(self, instance: str, event: Event) -> None:
        try:
            actions = self.instances[instance].handle(self.now, event)
        except Exception as error:  # the wire protocol has a message for a failed policy
            traceback.print_exc(file=sys.stderr)
            self.reply.append(wire.format_failure(instance, error))
            return
        for action in actions:
            self.reply.append(wire.format_action(instance, action))
