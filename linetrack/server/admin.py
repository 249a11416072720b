"""The operators' address: whether this process serves, and its figures.

Owns a listener of its own and its callers, one call a connection.  Must never count anything, nor take a
place from the application: its few descriptors are in the budget's reserve.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import gevent
import structlog
from gevent import socket

from linetrack.server.clock import clock
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.requests import ClientRequest, RequestReader
from linetrack.server.http1.responses import encode_response
from linetrack.server.sockets import READ_SIZE, is_transient_accept_error

log = structlog.get_logger()

HEALTH, STATS = "/admin/health", "/admin/stats"
TEXT = "text/plain; version=0.0.4; charset=utf-8"
MOST = 16  # callers at once; the one longest there makes way for a new one
WITHIN = 2.0  # seconds for a call to come whole, and as long for its answer to be taken
FRESH = 250_000  # microseconds for which a text of the figures serves again
BACKLOG = 128
BEHIND = 64 * 1024  # bytes behind a call that are read away, so that no reset overtakes the answer
PAUSE = 0.05  # seconds after a descriptor could not be had


class AdminServer:
    def __init__(
        self, address: tuple[str, int], serving: Callable[[], bool], figures: Callable[[], str]
    ) -> None:
        self.serving, self.figures = serving, figures
        self.callers: OrderedDict[socket.socket, None] = OrderedDict()
        self.text, self.made = b"", -FRESH
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(BACKLOG)

    def accept(self) -> None:
        """Take calls, for ever."""
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError as fault:
                if not is_transient_accept_error(fault):
                    raise
                gevent.sleep(PAUSE)
                continue
            if len(self.callers) >= MOST:
                # guards against callers that say nothing: closing wakes the greenlet that waits on it
                oldest, _ = self.callers.popitem(last=False)
                oldest.close()
            self.callers[caller] = None
            gevent.spawn_raw(self._serve, caller)

    def _serve(self, caller: socket.socket) -> None:
        try:
            caller.settimeout(WITHIN)
            with gevent.Timeout(WITHIN, TimeoutError("the call did not come")):
                try:
                    answer = self._answer(_call(caller))
                except MalformedMessageError as fault:
                    answer = encode_response(fault.status, keep_alive=False)
            with gevent.Timeout(WITHIN, TimeoutError("the answer was not taken")):
                caller.sendall(answer)
                caller.shutdown(socket.SHUT_WR)
                left = BEHIND
                while left > 0 and (data := caller.recv(READ_SIZE)):
                    left -= len(data)
        except (OSError, EOFError):
            pass  # it has gone, stalled, or made way
        except Exception:
            # guards against a greenlet that ends silently
            log.exception("admin_call_broke")
        finally:
            self.callers.pop(caller, None)
            caller.close()

    def _answer(self, call: ClientRequest) -> bytes:
        if call.path not in (HEALTH, STATS):
            return encode_response(404, keep_alive=False)
        if call.method != "GET":
            return encode_response(405, keep_alive=False)
        if call.path == HEALTH:
            return encode_response(200 if self.serving() else 503, keep_alive=False)
        now = clock()
        if now - self.made >= FRESH:
            self.text, self.made = self.figures().encode(), now
        return encode_response(200, self.text, keep_alive=False, content_type=TEXT)


def _call(caller: socket.socket) -> ClientRequest:
    """The one call of a connection; EOFError where it ends before."""
    reader = RequestReader()
    try:
        while True:
            data = caller.recv(READ_SIZE)
            if not data:
                raise EOFError
            if calls := reader.feed(data):
                return calls[0]
    finally:
        reader.close()
