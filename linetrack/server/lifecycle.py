"""The program: its phases from start to exit, as named states of one object.

Owns signals and the greenlets that must live.  Must never read a message or decide about a request.
"""

from __future__ import annotations

import errno
import gc
import os
import signal
import sys
from collections.abc import Callable, Mapping
from dataclasses import asdict
from enum import Enum
from functools import partial
from typing import Any

import gevent
import structlog
from gevent import socket
from gevent.event import Event
from structlog.typing import EventDict

from linetrack.control.metrics import Metrics
from linetrack.control.settings_switch import SettingsSwitch
from linetrack.control.hot_restart import Command, Identity
from linetrack.server.admin import AdminServer
from linetrack.server.budget import Budget
from linetrack.server.listener import Listener
from linetrack.server.clock import clock
from linetrack.server.config import STREAMS, Config, ConfigError, read_config
from linetrack.server.discovery_client import DiscoveryClient
from linetrack.server.hot_restart_channel import Predecessor, Successor, socket_path
from linetrack.server.endpoint_list import EndpointRecords, encode_snapshot, parse_endpoint_list
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.attempt_runner import AttemptRunner
from linetrack.server.dispatcher import Dispatcher, MakePolicy
from linetrack.server.notifications import SerializedCallback
from linetrack.server.upstream_pool import UpstreamPool
from linetrack.policy.balancer import Balancer
from linetrack.policy.settings import Settings

log = structlog.get_logger()

STILL_COMING = 0.5  # seconds after SIGTERM in which clients still connect
LAST_WORD = 0.1  # seconds after the last answer, for the last bytes to be taken
LOOK = 0.01  # seconds between looks whether all is answered
LIST_WITHIN = 4.0  # seconds after which a process serves without an answer of discovery
LINE_EVERY = 1_000_000  # microseconds between two log lines of one event
GC_THRESHOLD = 20_000  # a collection costs milliseconds: seldom, over what is young only
TIDY = 5.0  # seconds between collections over all that came since the start, so that memory stays level


class Phase(Enum):
    STARTING = "starting"  # configuration read, the module made
    SERVING = "serving"  # taking requests
    LEAVING = "leaving"  # SIGTERM has come: still accepting, as clients still come
    EMPTYING = "emptying"  # nothing new is accepted; what was taken is answered
    ENDED = "ended"


class Sidecar:
    def __init__(self, read: Callable[[], Config], policy: MakePolicy = Balancer) -> None:
        """`read` gives the configuration, at the start and at each reload, or raises a `ConfigError`."""
        self.read, self.config = read, read()
        config = self.config
        self.phase = Phase.STARTING
        budget = Budget(config.sockets, config.memory_mb)
        self.metrics = Metrics()
        self.metrics.declare_classes(config.class_names)
        self.upstreams = UpstreamPool(budget, config.dial_timeout, config.keep_alive)
        self.attempts = AttemptRunner(
            self.upstreams,
            budget,
            config.report_fields,
            lambda notification, seen_at: self.owner.enqueue(notification, seen_at),
            self.metrics,
        )
        self.discovery = DiscoveryClient(
            config.discovery,
            self.upstreams,
            lambda update, seen_at: self.owner.enqueue(update, seen_at),
            config.zone_names,
            config.kind_names,
            config.settings,
            config.seed,
        )
        if config.storms:
            policy = _damping(policy)
        self.handover = SettingsSwitch(policy(config.settings, config.seed))
        self.owner = Dispatcher(
            self.handover,
            self.attempts.start,
            self.attempts.abort,
            self.discovery.watch,
            self.upstreams.close_idle,
            self.metrics,
        )
        self.longest = config.longest
        self.clients = Listener(
            self.owner, budget, config.class_names, config.deadlines, self.serving, config.whole_seconds
        )
        self.leave, self.again = Event(), Event()
        self.budget = budget
        self.predecessor: Predecessor | None = None
        self.told_all = False  # whether the process whose place this one takes has told what it learnt
        self.handed: Command | None = None  # what became of the end: to a successor, or without one
        self.accepting: gevent.Greenlet | None = None

    def serving(self) -> bool:
        return self.phase is Phase.SERVING

    def _text(self) -> str:
        return self.metrics.prometheus_text(len(self.upstreams.endpoints), self.handover.avoided(clock()))

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        log.info("phase", now=phase.value, **self.metrics.totals())

    def run(self) -> int:
        """From start to exit; the exit status."""
        # who started which greenlet is told to nobody, and costs a walk of the stack for each
        gevent.config.track_greenlet_tree = False
        # a second SIGTERM changes nothing; a SIGHUP during a reload is one more reload
        gevent.signal_handler(signal.SIGTERM, self.leave.set)
        gevent.signal_handler(signal.SIGINT, self.leave.set)
        gevent.signal_handler(signal.SIGHUP, self.again.set)
        _say_streams(self.config)
        successor, known = self._listen()
        self.discovery.restore(known)
        if self.config.admin is not None:
            must_live("admin", AdminServer(self.config.admin, self.serving, self._text).accept)
        must_live("owner", self.owner.run)
        if successor is None:
            self._accept()
        must_live("discovery", self.discovery.run)
        must_live("sweep", self.upstreams.run_expiry)
        must_live("client sweep", self.clients.sweep)
        must_live("reload", self._reload)
        must_live("tidying", _tidy)
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD)
        if self.discovery.schedule.updates_are_pushed:
            self._hear_list()
        self._enter(Phase.SERVING)
        if successor is not None:
            must_live("hot restart", successor.follow)
        self.leave.wait()
        self._enter(Phase.LEAVING)
        began = clock()
        if self.predecessor is not None:
            self.predecessor.leave()
        limit = began + self.longest + int((STILL_COMING + LAST_WORD) * 1_000_000)
        self.owner.shutdown_deadline = limit - int(LAST_WORD * 1_000_000)
        if self.handed is not Command.HAND_ON or not self._until_handed(limit):
            # no successor, or it ended meanwhile
            if self.accepting is not None:
                # one that never accepted leaves the queue to the process whose it is
                gevent.sleep(STILL_COMING)
                self._stop_accepting()
                # first, so that there is room for what stands in the backlog
                self.clients.close_between_requests()
                self.clients.stop_accepting()
            self.clients.close_between_requests()
            self._enter(Phase.EMPTYING)
            while self.clients.open and clock() < limit:
                gevent.sleep(LOOK)
        self._enter(Phase.ENDED)
        return 0

    def _hear_list(self) -> None:
        """Where lists are pushed, wait for discovery's answer.

        Guards against sends by a list from before the start: what discovery has binds at once there.  It is
        called by all that start together, and may be cut off: one that has not answered for so long is taken
        to be out of reach, and one that is down has nothing to tell; then the list of the configuration is
        all that there is."""
        if not gevent.wait([self.discovery.initial_poll_finished, self.leave], LIST_WITHIN, count=1):
            log.warning("list_unheard", entries=len(self.upstreams.endpoints))

    # --- Taking another process's place, and giving this one's ---------------------------------------
    def _listen(self) -> tuple[Successor | None, EndpointRecords]:
        """Open the listener, or have it from the process that serves; and the list, as that one has it."""
        config = self.config
        path = socket_path(os.environ.get("TMPDIR", ""), config.name, config.listen)
        if path is None:
            self.clients.listen(config.listen)
            return None, config.known
        self.predecessor = Predecessor(path, self._identity, self._grant, self._act)
        successor = Successor(path, self._identity(), self._act, self._told)
        while (granted := successor.call()) is None:
            if successor.steps.met_stranger:
                # guards against standing in another customer's place for those that look for its process
                log.warning("hot_restart_foreign", path=str(path))
                self.predecessor = None
            self._prepare_to_give()
            try:
                self.clients.listen(config.listen, beside=self.predecessor is None)
            except BaseException as fault:
                if self.predecessor is None:
                    raise
                # guards against hiding a process that serves, and only could not be asked
                self.predecessor.forget()
                in_use = isinstance(fault, OSError) and fault.errno == errno.EADDRINUSE
                if not in_use or not successor.taken():
                    raise
            else:
                self._be_found()
                return None, config.known
        fd, values = granted
        self.clients.listener = socket.socket(fileno=fd)
        return successor, self._list(values)

    def _prepare_to_give(self) -> None:
        try:
            if self.predecessor is not None:
                self.predecessor.prepare()
        except OSError as fault:
            log.warning("hot_restart_unavailable", fault=str(fault))
            self.predecessor = None

    def _be_found(self) -> None:
        """From here on the next process can find this one, where that can be had."""
        try:
            if self.predecessor is not None:
                self.predecessor.appear()
                must_live("successors", self.predecessor.run)
        except OSError as fault:
            log.warning("hot_restart_unavailable", fault=str(fault))
            self.predecessor = None

    def _grant(self) -> tuple[int, dict[str, Any]]:
        assert self.clients.listener is not None
        told = encode_snapshot(self.discovery.version or 0, self.upstreams.records())
        return self.clients.listener.fileno(), {"list": told, "discovery": list(self.discovery.address)}

    def _identity(self) -> Identity:
        """What another process is told of this one, to see what it may have of it."""
        return Identity(self.config.class_names, self.config.digest)

    def _list(self, values: Mapping[str, Any]) -> EndpointRecords:
        """The list as the other process has it; the one of the configuration where that makes no sense, or is
        of another discovery, whose versions are its own."""
        if values.get("discovery", list(self.config.discovery)) != list(self.config.discovery):
            log.warning("hot_restart_list_left", discovery=values["discovery"])
            return self.config.known
        try:
            return parse_endpoint_list(values.get("list"))
        except MalformedMessageError as fault:
            log.warning("hot_restart_list_faulty", fault=str(fault))
            return self.config.known

    def _accept(self) -> None:
        self.accepting = must_live("listener", self.clients.accept)

    def _stop_accepting(self) -> None:
        if self.accepting is not None:
            self.accepting.kill()
            self.accepting = None

    def _act(self, do: Command) -> None:
        """What only the program can do of a replacement."""
        match do:
            case Command.ACCEPT:
                if not self.told_all:
                    self.handover.alone(clock())
                self._prepare_to_give()
                self._be_found()
                self._accept()
            case Command.WHOLE:
                self.budget.whole()
            case Command.HAND_ON:
                self._hand_on()
            case Command.KEEP:
                # guards against having no room for those who come back from a successor that has ended
                self.budget.whole()
                self.handover.alone(clock())
                self.clients.passes = None
                self._accept()
        if do in (Command.HAND_ON, Command.KEEP, Command.LEAVE):
            self.handed = do

    def _hand_on(self) -> None:
        """Whoever comes is the successor's from here on, and so is what this process knows."""
        assert self.predecessor is not None and self.predecessor.link is not None
        link = self.predecessor.link
        self._stop_accepting()
        self.upstreams.close_all_idle()
        link.say(
            "leave",
            sockets=self.budget.leave_to_successor(),
            ids=self.clients.intake.marks(),
            learnt=self.handover.learnt(),
            settings=self.config.digest,
        )

        def passes(fd: int, answers: int) -> bool:
            gone = link.say("client", (fd,), answers=answers)
            if gone:
                self.budget.hand_client_on()
            return gone

        self.clients.hand_on(passes)

    def _until_handed(self, limit: int) -> bool:
        """Wait until nothing is left here; False where the successor has ended before."""
        while self.clients.open and clock() < limit:
            if self.handed is Command.KEEP:
                return False
            gevent.sleep(LOOK)
        return True

    def _told(self, what: str, values: dict[str, Any], fds: list[int]) -> None:
        """What the process tells whose place this one takes."""
        match what:
            case "client":
                for fd in fds:
                    self.clients.adopt(fd, values["answers"])
            case "leave":
                self.budget.share(values["sockets"])
                self.clients.intake.remember(values["ids"])
                # guards against taking over under one number what was learnt of another class or place: what
                # does not go by name goes over under the very same settings only
                same = values.get("settings") == self.config.digest
                taken = self.told_all = self.handover.restore(values["learnt"], clock(), same, same)
                log.info("hot_restart_told", learnt=taken, same_settings=same, ids=len(values["ids"]))

    def _reload(self) -> None:
        """Each time SIGHUP has come, the file is read again, whole, and then applied; for ever."""
        while True:
            self.again.wait()
            self.again.clear()
            try:
                told = self.read()
                new = told.after(self.config)
            except ConfigError as fault:
                self.metrics.invalid_configs += 1
                log.error("reload_faulty", fault=str(fault))
                continue
            needs_restart = self.config.restart_for(told)
            same = new.same_settings(self.config)
            if not same and not self.handover.can:
                needs_restart, same = [*needs_restart, "settings"], True
            self.metrics.accepted_configs += 1
            log.info("reloaded", discovery=new.discovery, switched=not same, needs_restart=needs_restart)
            self.discovery.switch_server(new.discovery)
            if not same:
                _say_streams(new)
                self._switch(new)

    def _switch(self, new: Config) -> None:
        """Other settings, whole and at one moment: nothing waits in here, and the owner takes what was read
        before it under the old ones, what is read after it under the new."""
        self.upstreams.configure(new.dial_timeout, new.keep_alive)
        self.attempts.configure(new.report_fields)
        self.discovery.configure(new.zone_names, new.kind_names, new.settings)
        self.metrics.declare_classes(new.class_names)
        self.clients.intake.set(new.class_names, new.deadlines)
        self.owner.enqueue(SerializedCallback(partial(self._succeed, new)), clock())
        self.config, self.longest = new, max(self.longest, new.longest)

    def _succeed(self, new: Config) -> None:
        still = self.handover.switch(new.settings)
        log.info("settings_switched", still_open=still, classes=new.class_names, **self.metrics.totals())


def _say_streams(config: Config) -> None:
    if config.told_streams > STREAMS:
        log.warning("multiplex_unused", told=config.told_streams, used=STREAMS)


def _damping(policy: MakePolicy) -> MakePolicy:
    """The same policy with overload control and idempotency keys; one that is not ours stays as it is."""
    if policy is not Balancer:
        return policy
    from linetrack.control.idempotency_keys import IdempotencyKeyTable
    from linetrack.control.overload_control import AdaptiveOverloadController, OverloadPhase, OverloadStatus

    def log_phase(phase: OverloadPhase, status: OverloadStatus) -> None:
        log.info("overload_phase_changed", phase=phase.value, **asdict(status))

    def make_policy(settings: Settings, seed: int) -> Balancer:
        return Balancer(settings, seed, AdaptiveOverloadController(seed, log_phase), IdempotencyKeyTable())

    return make_policy


def _tidy() -> None:
    while True:
        gevent.sleep(TIDY)
        gc.collect()


def must_live(name: str, work: Callable[[], None]) -> gevent.Greenlet:
    """A greenlet without which the program is no use: if it breaks, the process ends, loudly."""

    def live() -> None:
        try:
            work()
        except gevent.GreenletExit:
            return
        except BaseException:
            # guards against a program half alive: one that accepts and never answers
            log.exception("greenlet_broke", greenlet=name)
            os._exit(1)

    return gevent.spawn(live)


class LogRateLimiter:
    """At most one line of an event a second, but for phases: a flood of lines would hold up the one core."""

    def __init__(self, time: Callable[[], int] = clock) -> None:
        self.time = time
        self.said: dict[str, int] = {}
        self.unsaid: dict[str, int] = {}

    def __call__(self, logger: object, method: str, line: EventDict) -> EventDict:
        event, now = str(line["event"]), self.time()
        if method == "info":
            return line
        if now - self.said.get(event, -LINE_EVERY) < LINE_EVERY:
            self.unsaid[event] = self.unsaid.get(event, 0) + 1
            raise structlog.DropEvent
        self.said[event] = now
        if unsaid := self.unsaid.pop(event, 0):
            line["unsaid"] = unsaid
        return line


def main(environ: Mapping[str, str]) -> int:
    """The platform's sidecar; the exit status."""
    return serve(partial(read_config, environ))


def serve(read: Callable[[], Config], policy: MakePolicy = Balancer) -> int:
    """One sidecar in the foreground until SIGTERM; the exit status."""
    structlog.configure(
        processors=[
            LogRateLimiter(),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    try:
        sidecar = Sidecar(read, policy)
    except ConfigError as fault:
        log.error("config_faulty", fault=str(fault))
        return 2
    try:
        return sidecar.run()
    except OSError as fault:
        log.error(
            "cannot_listen", address=sidecar.config.listen, admin=sidecar.config.admin, fault=str(fault)
        )
        return 1
