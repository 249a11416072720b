"""The admin server for operators: a health check and the metrics.

It has its own listener and serves one request per connection.  Its few descriptors are reserved, so that it
uses no connection slot of the application.  It only renders metrics that other modules count.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import gevent
from gevent import socket

from linetrack.server.clock import clock
from linetrack.server.http1 import statuses
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.requests import ClientRequest, RequestReader
from linetrack.server.http1.responses import encode_response
from linetrack.server.logging_setup import get_logger
from linetrack.server.sockets import READ_SIZE, is_transient_accept_error

log = get_logger(__name__)

HEALTH_PATH = "/admin/health"
METRICS_PATH = "/admin/stats"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MAX_ADMIN_CONNECTIONS = 16  # concurrent connections; the oldest is closed to admit a new one
ADMIN_TIMEOUT_SECONDS = 2.0  # for receiving a complete request, and again for sending its response
METRICS_CACHE_TTL_US = 250_000  # how long rendered metrics are reused
LISTEN_BACKLOG = 128
# Input after a request is read before the connection is closed: unread input would reset the connection, and
# the reset could overtake the response.
MAX_DISCARDED_BYTES = 64 * 1024
ACCEPT_RETRY_DELAY_SECONDS = 0.05  # after a transient error of accept()


class AdminServer:
    """Serves health checks and metrics to operators.

    Args:
        address: The address to listen on.
        is_serving: Returns whether this process serves the application.
        render_metrics: Returns the metrics in the Prometheus text format.
    """

    def __init__(
        self,
        address: tuple[str, int],
        is_serving: Callable[[], bool],
        render_metrics: Callable[[], str],
    ) -> None:
        self.is_serving = is_serving
        self.render_metrics = render_metrics
        self.connections: OrderedDict[socket.socket, None] = OrderedDict()
        self.metrics_text = b""
        self.metrics_rendered_at = -METRICS_CACHE_TTL_US
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(LISTEN_BACKLOG)

    def accept(self) -> None:
        """Accept connections forever."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError as error:
                if not is_transient_accept_error(error):
                    raise
                gevent.sleep(ACCEPT_RETRY_DELAY_SECONDS)
                continue
            if len(self.connections) >= MAX_ADMIN_CONNECTIONS:
                # Clients that send nothing must not block others.  Closing a socket wakes the greenlet that
                # waits for it.
                oldest, _ = self.connections.popitem(last=False)
                oldest.close()
            self.connections[sock] = None
            gevent.spawn_raw(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        try:
            sock.settimeout(ADMIN_TIMEOUT_SECONDS)
            with gevent.Timeout(ADMIN_TIMEOUT_SECONDS, TimeoutError("the request was not received in time")):
                try:
                    response = self._respond(_read_request(sock))
                except MalformedMessageError as error:
                    response = encode_response(error.status, keep_alive=False)
            with gevent.Timeout(ADMIN_TIMEOUT_SECONDS, TimeoutError("the response was not sent in time")):
                sock.sendall(response)
                sock.shutdown(socket.SHUT_WR)
                _discard_input(sock)
        except (OSError, EOFError):
            pass  # the client closed or stalled, or its connection was closed to admit a newer one
        except Exception:
            # Without this handler a failing greenlet would end without a log line.
            log.exception("admin_request_failed")
        finally:
            self.connections.pop(sock, None)
            sock.close()

    def _respond(self, request: ClientRequest) -> bytes:
        if request.path not in (HEALTH_PATH, METRICS_PATH):
            return encode_response(statuses.NOT_FOUND, keep_alive=False)
        if request.method != "GET":
            return encode_response(statuses.METHOD_NOT_ALLOWED, keep_alive=False)
        if request.path == HEALTH_PATH:
            status = statuses.OK if self.is_serving() else statuses.SERVICE_UNAVAILABLE
            return encode_response(status, keep_alive=False)
        return encode_response(
            statuses.OK, self._metrics(), keep_alive=False, content_type=METRICS_CONTENT_TYPE
        )

    def _metrics(self) -> bytes:
        """Return the metrics as text, rendered again once the cached text has expired."""
        now = clock()
        if now - self.metrics_rendered_at >= METRICS_CACHE_TTL_US:
            self.metrics_text = self.render_metrics().encode()
            self.metrics_rendered_at = now
        return self.metrics_text


def _read_request(sock: socket.socket) -> ClientRequest:
    """Read the one request of a connection; raises EOFError if the connection ends before it is complete."""
    reader = RequestReader()
    try:
        while True:
            data = sock.recv(READ_SIZE)
            if not data:
                raise EOFError
            if requests := reader.feed(data):
                return requests[0]
    finally:
        reader.close()


def _discard_input(sock: socket.socket) -> None:
    """Read and discard the input after the request, up to a limit."""
    remaining = MAX_DISCARDED_BYTES
    while remaining > 0 and (data := sock.recv(READ_SIZE)):
        remaining -= len(data)
