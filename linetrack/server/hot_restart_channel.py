"""The link between a process that serves and the one that takes its place: frames and descriptors.

Owns the Unix socket in the folder that both share, what goes over the link, and the clock of its steps, which
`linetrack/control/hot_restart.py` decides.  Must never accept a client, nor touch a request: the program does,
as it is told.
"""

from __future__ import annotations

import array
import contextlib
import json
import os
import struct
from collections import deque
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path
from typing import Any

import gevent
import structlog
from gevent import socket
from gevent.lock import Semaphore

from linetrack.control.hot_restart import NEVER, VERSION, Command, Identity, SuccessorStateMachine, PredecessorStateMachine
from linetrack.server.clock import clock
from linetrack.server.sockets import is_transient_accept_error

log = structlog.get_logger()

BACKLOG = 8
MOST_FRAME = 16 * 1024 * 1024  # bytes: thousands of upstreams with room to spare
MOST_FDS = 16  # that come with one frame
WRITE_WITHIN = 0.5  # seconds for the other side to take a frame
MOST_CALLERS = 4  # at once, one of which may take over; their descriptors are in the budget's reserve
CALLED_WITHIN = 1.0  # seconds for a caller to say what it is
LOOK = 0.05  # seconds between looks at what is due
CREDENTIALS = "3i"


class HotRestartChannelError(Exception):
    """The other side said what cannot be understood."""


class HotRestartChannel:
    """One connection between the two; each frame is one JSON object, with the descriptors that go with it."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = b""
        self.fds: deque[int] = deque()
        self.writing = Semaphore()  # guards against frames of two greenlets mixed, where one waits half-way

    def say(self, what: str, fds: tuple[int, ...] = (), **values: Any) -> bool:
        """Whether the frame went out whole; descriptors stay open here."""
        data = json.dumps({"what": what, "fds": len(fds), **values}).encode()
        data = struct.pack("!I", len(data)) + data
        told = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", fds).tobytes())] if fds else []
        try:
            with self.writing, gevent.Timeout(WRITE_WITHIN, TimeoutError("the link is not read from")):
                sent = self.sock.sendmsg([data], told)
                if sent < len(data):
                    self.sock.sendall(memoryview(data)[sent:])
        except OSError as fault:
            log.warning("hot_restart_link_broke", saying=what, fault=str(fault))
            self.close()
            return False
        return True

    def hear(self) -> tuple[dict[str, Any], list[int]] | None:
        """The next frame and its descriptors; None where the link has ended."""
        try:
            if (head := self._exactly(4)) is None:
                return None
            (size,) = struct.unpack("!I", head)
            if size > MOST_FRAME or (data := self._exactly(size)) is None:
                return None
            values = json.loads(data)
            count = values["fds"]
            return values, [self.fds.popleft() for _ in range(count)]
        except OSError:
            return None
        except (ValueError, KeyError, TypeError, IndexError, RecursionError) as fault:
            raise HotRestartChannelError(repr(fault)) from None

    def _exactly(self, size: int) -> bytes | None:
        while len(self.buffer) < size:
            room = socket.CMSG_SPACE(MOST_FDS * struct.calcsize("i"))
            data, told, _, _ = self.sock.recvmsg(64 * 1024, room)
            for level, kind, payload in told:
                if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                    whole = len(payload) // struct.calcsize("i")
                    self.fds.extend(struct.unpack(f"{whole}i", payload[: whole * struct.calcsize("i")]))
            if not data:
                return None
            self.buffer += data
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def close(self) -> None:
        self.sock.close()
        while self.fds:
            # guards against connections that came and that nobody will ever serve
            os.close(self.fds.popleft())


def socket_path(folder: str, name: str, listen: tuple[str, int]) -> Path | None:
    """Where the processes of one sidecar find one another; None where there is no folder.

    Guards against finding another one's that has the same name or address in the same folder: an address is
    one of its network, which processes on one machine need not share."""
    if not folder:
        return None
    try:
        network = os.stat("/proc/self/ns/net").st_ino
    except OSError:
        network = 0
    mark = blake2b(json.dumps([name, *listen, network]).encode(), digest_size=8).hexdigest()
    return Path(folder) / f"linetrack-{mark}.sock"


class Predecessor:
    """The side that serves: found by the next process, which it prepares for its place."""

    def __init__(
        self,
        path: Path,
        identity: Callable[[], Identity],
        grant: Callable[[], tuple[int, dict[str, Any]]],
        act: Callable[[Command], None],
    ) -> None:
        """`identity` tells whose process this is; `grant` gives the listening socket's descriptor and what
        goes with it; `act` does what only the program can."""
        self.path, self.identity, self.grant, self.act = path, identity, grant, act
        self.callers = 0
        self.own = path.with_suffix(f".{os.getpid()}")
        self.steps = PredecessorStateMachine()
        self.link: HotRestartChannel | None = None
        self.listener: socket.socket | None = None

    def prepare(self) -> None:
        """Have the socket ready under a name of its own; an OSError where that cannot be had."""
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            with contextlib.suppress(FileNotFoundError):
                self.own.unlink()
            listener.bind(str(self.own))
            self.own.chmod(0o600)
            listener.listen(BACKLOG)
        except BaseException:
            listener.close()
            raise
        self.listener = listener

    def forget(self) -> None:
        """This process will not serve: whoever is found stays so."""
        if self.listener is not None:
            self.listener.close()
            self.own.unlink(missing_ok=True)

    def appear(self) -> None:
        """Be found from here on, in the place of whoever was; an OSError where that cannot be had."""
        # at one moment, so that whoever looks finds somebody; a file that was left behind goes
        self.own.rename(self.path)

    def run(self) -> None:
        """Take callers, for ever."""
        assert self.listener is not None
        gevent.spawn(self._watch)
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError as fault:
                if not is_transient_accept_error(fault):
                    raise
                gevent.sleep(LOOK)
                continue
            self.callers += 1
            gevent.spawn(self._caller, sock)
            while self.callers >= MOST_CALLERS:
                # guards against callers that use up the descriptors: each says in time what it is
                gevent.sleep(LOOK)

    def _watch(self) -> None:
        while True:
            gevent.sleep(LOOK)
            self._do(self.steps.tick(clock()))

    def _caller(self, sock: socket.socket) -> None:
        link = HotRestartChannel(sock)
        try:
            size = struct.calcsize(CREDENTIALS)
            _, uid, _ = struct.unpack(
                CREDENTIALS, sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, size)
            )
            with gevent.Timeout(CALLED_WITHIN, OSError("the caller says nothing")):
                heard = link.hear()
            if heard is None or uid != os.getuid():
                return
            do = self.steps.called(
                clock(), heard[0].get("version"), self.identity().foreign(heard[0].get("identity"))
            )
            if Command.GRANT not in do:
                link.say("busy" if Command.SAY_BUSY in do else "foreign" if Command.SAY_FOREIGN in do else "no")
                return
            self.link = link
            log.info("hot_restart_called")
            fd, values = self.grant()
            if link.say("grant", (fd,), identity=self.identity().told(), **values):
                self._listen(link)
        except (OSError, HotRestartChannelError) as fault:
            log.warning("hot_restart_caller_faulty", fault=str(fault))
        except Exception:
            log.exception("hot_restart_broke")
        finally:
            self.callers -= 1
            link.close()
            if self.link is link:
                self.link = None
                log.info("hot_restart_link_ended", state=self.steps.state.name.lower())
                self._do(self.steps.lost())

    def _listen(self, link: HotRestartChannel) -> None:
        while (heard := link.hear()) is not None:
            if heard[0]["what"] == "ready":
                log.info("hot_restart_ready")
                self._do(self.steps.ready())

    def leave(self) -> None:
        """This process is to end: hand over, or leave as without a successor."""
        self._do(self.steps.leave())

    def _do(self, do: list[Command]) -> None:
        for what in do:
            if what is Command.BEAT and self.link is not None:
                self.link.say("beat")
            elif what is Command.CLOSE and self.link is not None:
                self.link.close()
            elif what in (Command.HAND_ON, Command.KEEP, Command.LEAVE):
                self.act(what)


class Successor:
    """The side that takes over."""

    def __init__(
        self,
        path: Path,
        identity: Identity,
        act: Callable[[Command], None],
        told: Callable[[str, dict[str, Any], list[int]], None],
    ):
        """`identity` is whose process this is; `act` does what only the program can; `told` is given what
        came over, with its descriptors."""
        self.path, self.identity, self.act, self.told = path, identity, act, told
        self.steps = SuccessorStateMachine(clock())
        self.link: HotRestartChannel | None = None

    def call(self) -> tuple[int, dict[str, Any]] | None:
        """The listening socket's descriptor and what came with it; None where this start is an ordinary one.

        Raises OSError where another process takes over already, or serves and does not let this one.
        """
        while True:
            do = self.steps.tick(clock())
            if Command.GIVE_UP in do:
                raise OSError(f"{self.path}: another process serves or takes over")
            if Command.CALL in do:
                if (granted := self._call()) is not None:
                    self.steps.granted(clock())
                    log.info("hot_restart_granted")
                    return granted
                if self.steps.state is SuccessorStateMachine.State.ALONE:
                    return None
            gevent.sleep(LOOK)

    def taken(self) -> bool:
        """The address is another process's though nobody was found: whether to call again."""
        log.info("hot_restart_address_taken")
        return Command.GIVE_UP not in self.steps.taken(clock())

    def _call(self) -> tuple[int, dict[str, Any]] | None:
        link, heard = None, None
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            link = HotRestartChannel(sock)
            with gevent.Timeout(max(0, self.steps.due - clock()) / 1_000_000, OSError("no answer")):
                sock.connect(str(self.path))
                own = self.identity.told()
                greeted = link.say("hello", version=VERSION, pid=os.getpid(), identity=own)
                heard = link.hear() if greeted else None
        except (OSError, HotRestartChannelError) as fault:
            log.info("hot_restart_nobody", fault=str(fault))
        values, fds = heard or ({}, [])
        what, foreign = values.get("what"), self.identity.foreign(values.get("identity"))
        if link is not None and what == "grant" and len(fds) == 1 and not foreign:
            self.link = link
            return fds[0], values
        for fd in fds:
            os.close(fd)
        if link is not None:
            link.close()
        foreign = foreign or what == "foreign"
        if foreign:
            self.steps.stranger()
        elif heard is None:
            self.steps.nobody()
        else:
            self.steps.busy(clock())
        return None

    def follow(self) -> None:
        """From the grant on: hears the other side until it has gone, and does what is due."""
        assert self.link is not None
        reading = gevent.spawn(self._hear, self.link)
        self._do(self.steps.prepared())
        while not reading.ready():
            reading.join(LOOK)
            if self.steps.due != NEVER:
                self._do(self.steps.tick(clock()))
        self.link.close()
        log.info("hot_restart_alone")
        self._do(self.steps.lost())

    def _hear(self, link: HotRestartChannel) -> None:
        try:
            while (heard := link.hear()) is not None:
                values, fds = heard
                self.steps.heard(clock())
                what = values["what"]
                if what != "beat":
                    self.told(what, values, fds)
                if what == "leave":
                    self._do(self.steps.left())
        except HotRestartChannelError as fault:
            log.warning("hot_restart_faulty", fault=str(fault))
        except Exception:
            # guards against a link that nobody reads any more and that is not seen to have ended
            log.exception("hot_restart_broke")

    def _do(self, do: list[Command]) -> None:
        for what in do:
            if what is Command.SAY_READY and self.link is not None:
                self.link.say("ready")
            elif what in (Command.ACCEPT, Command.WHOLE):
                self.act(what)
