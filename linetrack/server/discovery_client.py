"""The discovery client: polls the endpoint list and publishes its updates.

It owns the connection to discovery, discovery's address and the version of the current list.
`linetrack/control/discovery_schedule.py` decides when to poll, how long to wait and when to give up.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable

import gevent
from gevent import socket
from gevent.event import Event

from linetrack.control.discovery_schedule import DiscoverySchedule, Poll, PollFailure
from linetrack.errors import LinetrackError
from linetrack.policy.events import EndpointEntry, EndpointListUpdate, ListForm
from linetrack.policy.settings import Settings
from linetrack.server.address_owners import remove_superseded
from linetrack.server.clock import clock
from linetrack.server.connection import Connection, StalledError
from linetrack.server.endpoint_list import (
    MAX_ENDPOINT_LIST_BYTES,
    EndpointRecord,
    EndpointRecords,
    decode_endpoint_list,
    encode_poll,
)
from linetrack.server.http1 import statuses
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.responses import Response
from linetrack.server.logging_setup import get_logger
from linetrack.server.upstream_pool import UpstreamPool

log = get_logger(__name__)

MICROSECONDS_PER_MILLISECOND = 1_000
MICROSECONDS_PER_SECOND = 1_000_000


class PollError(LinetrackError):
    """A poll of discovery failed; `reason` says why, for the log."""

    def __init__(self, failure: PollFailure, cause: object) -> None:
        reason = str(cause) or type(cause).__name__
        super().__init__(reason)
        self.failure = failure
        self.reason = reason


class DiscoveryClient:
    """Keeps the endpoint list of one instance up to date."""

    def __init__(
        self,
        address: tuple[str, int],
        upstreams: UpstreamPool,
        publish: Callable[[EndpointListUpdate, int], None],
        zone_names: tuple[str, ...],
        host_class_names: tuple[str, ...],
        settings: Settings,
        seed: int,
    ) -> None:
        """`publish` is called with each update and the time at which it was received."""
        self.address = address
        self.upstreams = upstreams
        self.publish = publish
        self.schedule = DiscoverySchedule(settings, seed)
        self.configure(zone_names, host_class_names, settings)
        self.version: int | None = None  # of the current list; None asks for a snapshot
        # Set once the first poll has succeeded or discovery is unreachable; where updates are not pushed, any
        # failed poll sets it.
        self.initial_poll_finished = Event()
        self._watch_requested = Event()
        self._server_switched = Event()
        self._server_generation = 0  # number of server switches
        # Still polls the previous server, for an update that it may already have sent.
        self._previous_poll_greenlet: gevent.Greenlet | None = None

    def configure(
        self, zone_names: tuple[str, ...], host_class_names: tuple[str, ...], settings: Settings
    ) -> None:
        """Apply new settings; the index of a zone or host class is the position of its name."""
        self.zone_indexes = {name: index for index, name in enumerate(zone_names)}
        self.host_class_indexes = {name: index for index, name in enumerate(host_class_names)}
        self.schedule.configure(settings)

    def restore(self, records: EndpointRecords) -> None:
        """Publish the last list that this sidecar had; must be called before any other list is published."""
        self.version = records.version if records.endpoints else None
        self._publish(records, ListForm.CACHED)

    def watch(self) -> None:
        """Start polling where updates are not pushed; from then on the list is kept up to date."""
        self._watch_requested.set()

    def switch_server(self, address: tuple[str, int]) -> None:
        """Poll the discovery server at `address` from now on.

        The first poll is immediate, even if a backoff is pending, and requests a snapshot, as each server
        has its own versions.  The current list stays in use until the new server has responded.
        """
        if address == self.address:
            return
        self.address = address
        self.version = None
        self._server_generation += 1
        self.schedule.switch_server(clock())
        self._watch_requested.set()
        self._server_switched.set()

    def run(self) -> None:
        """Poll forever; where updates are not pushed, polling starts with `watch`."""
        if not self.schedule.updates_are_pushed:
            self._watch_requested.wait()
        while True:
            self._server_switched.clear()
            poll = self.schedule.next_poll(clock())
            if self._server_switched.wait(_seconds_until(poll.due_at)):
                continue
            poll_greenlet = gevent.spawn(self._poll_until_failure, poll, self._server_generation)
            gevent.wait([poll_greenlet, self._server_switched], count=1)
            if self._server_switched.is_set():
                # A failure of the previous server must not delay the first poll of the new one.
                self._replace_previous_poll_greenlet(poll_greenlet)
            elif isinstance(error := poll_greenlet.get(), PollError):
                self._record_failure(error)

    def _record_failure(self, error: PollError) -> None:
        self.schedule.record_failure(clock(), error.failure)
        if error.failure is PollFailure.UNREACHABLE or not self.schedule.updates_are_pushed:
            self.initial_poll_finished.set()
        log.warning("discovery_poll_failed", failure=error.failure.value, fault=error.reason)

    def _replace_previous_poll_greenlet(self, poll_greenlet: gevent.Greenlet | None) -> None:
        """Keep the greenlet that polls the previous server, and kill the one kept before.

        An update that the previous server has sent is binding even after the switch.  Its open poll is
        therefore read until the new server has responded or the server is switched again.
        """
        if self._previous_poll_greenlet is not None:
            self._previous_poll_greenlet.kill(block=False)
        self._previous_poll_greenlet = poll_greenlet

    # --- Polls of one server -----------------------------------------------------------------------
    def _poll_until_failure(self, poll: Poll, server_generation: int) -> PollError | None:
        """Send `poll` and the polls that follow it, on one connection while that is kept alive.

        Returns the error that ended the polling, or None once another server is polled.
        """
        connection: Connection | None = None
        try:
            while True:
                gevent.sleep(_seconds_until(poll.due_at))
                if connection is None:
                    connection = self._connect(poll)
                self._send_poll(connection, poll)
                response = _read_response(connection, poll)
                if not self._apply_response(response, poll, server_generation):
                    return None
                if not response.keep_alive or connection.reader.has_unexpected_data:
                    connection.close()
                    connection = None
                poll = self.schedule.next_poll(clock())
        except PollError as error:
            return error
        finally:
            if connection is not None:
                connection.close()

    def _connect(self, poll: Poll) -> Connection:
        try:
            # Without a free descriptor only the poll fails; the process keeps running.
            connection = Connection(self.address, MAX_ENDPOINT_LIST_BYTES, MAX_ENDPOINT_LIST_BYTES)
            connection.connect(poll.connect_timeout / MICROSECONDS_PER_SECOND)
        except OSError as error:
            raise PollError(PollFailure.UNREACHABLE, error) from None
        return connection

    def _send_poll(self, connection: Connection, poll: Poll) -> None:
        """Send the poll and wait until its response begins."""
        # The wait of a long poll begins once discovery has received it, however long connecting took.
        started_at = clock() if poll.long_poll_wait else poll.due_at
        timeout = _seconds_until(started_at + poll.response_timeout)
        long_poll_wait_ms = poll.long_poll_wait // MICROSECONDS_PER_MILLISECOND
        try:
            with gevent.Timeout(timeout, TimeoutError("no response from discovery")):
                connection.sock.sendall(encode_poll(self.address, self.version, long_poll_wait_ms))
                socket.wait_read(connection.sock.fileno())
        except TimeoutError as error:
            raise PollError(PollFailure.TIMEOUT, error) from None
        except OSError as error:
            raise PollError(PollFailure.UNREACHABLE, error) from None

    def _apply_response(self, response: Response, poll: Poll, server_generation: int) -> bool:
        """Publish the list in a response; returns whether its server is still the current one."""
        if response.status != statuses.OK:
            raise PollError(PollFailure.REJECTED, f"discovery responded with status {response.status}")
        previous_version = self.version
        try:
            records = decode_endpoint_list(response.body)
            if server_generation != self._server_generation:
                self._apply_last_update(records)
                return False
            self._apply_update(records)
        except MalformedMessageError as error:
            raise PollError(PollFailure.INVALID, error) from None
        self._replace_previous_poll_greenlet(None)
        self.schedule.record_success(clock(), poll, self.version != previous_version)
        self.initial_poll_finished.set()
        return True

    # --- Updates -----------------------------------------------------------------------------------
    def _apply_last_update(self, records: EndpointRecords) -> None:
        """Publish an update of the previous server, unless the new one has already responded."""
        if self.version is None:
            self._publish_changes(records)

    def _apply_update(self, records: EndpointRecords) -> None:
        if records.skipped_count:
            log.warning("endpoints_skipped", entries=records.skipped_count)
        version = self.version
        if version is not None and records.version < version:
            # An outdated list must not be applied.  A server that restarted with lower versions must not be
            # ignored forever either: the next poll requests a snapshot, which is applied at any version.
            self.version = None
            raise MalformedMessageError(f"version {records.version} is older than {version}")
        self.version = records.version
        self._publish_changes(records)

    def _publish_changes(self, records: EndpointRecords) -> None:
        if records.endpoints or records.is_snapshot:
            self._publish(records, ListForm.SNAPSHOT if records.is_snapshot else ListForm.DELTA)

    def _publish(self, records: EndpointRecords, form: ListForm) -> None:
        received_at = clock()
        is_snapshot = form is not ListForm.DELTA
        endpoints = remove_superseded(records.endpoints, self.upstreams.records(), is_snapshot)
        self.upstreams.update_endpoints(endpoints, is_snapshot)
        entries = tuple(self._to_entry(record) for record in endpoints)
        self.publish(EndpointListUpdate(form, entries), received_at)

    def _to_entry(self, record: EndpointRecord) -> EndpointEntry:
        return EndpointEntry(
            endpoint=record.name,
            zone=_index_of(record.zone, self.zone_indexes),
            host_class=_index_of(record.host_class, self.host_class_indexes),
            cell=record.cell,
            status=record.status,
            capacity=record.weight,
            started_at=record.started_at_ms * MICROSECONDS_PER_MILLISECOND,
        )


def _read_response(connection: Connection, poll: Poll) -> Response:
    """Read a complete response, whose first bytes have arrived."""
    try:
        with gevent.Timeout(
            poll.transfer_timeout / MICROSECONDS_PER_SECOND,
            TimeoutError("the response was not complete in time"),
        ):
            response = connection.read_response(
                _reserve_nothing, stall_timeout=poll.stall_timeout / MICROSECONDS_PER_SECOND
            )
    except (TimeoutError, StalledError) as error:
        raise PollError(PollFailure.TRUNCATED, error) from None
    except OSError as error:
        raise PollError(PollFailure.UNREACHABLE, error) from None
    except MalformedMessageError as error:
        raise PollError(PollFailure.INVALID, error) from None
    if response is None:
        has_begun = connection.reader.response is not None
        failure = PollFailure.TRUNCATED if has_begun else PollFailure.UNREACHABLE
        raise PollError(failure, "discovery closed the connection")
    connection.reader.start_next_response()
    return response


def _reserve_nothing(_size: int) -> None:
    """Reserve no memory in the budget for a response: the list is needed regardless of its size."""


def _index_of(name: str, indexes: dict[str, int]) -> int:
    """Return the index of `name`.

    A name that is not in the settings gets a number after all indexes, derived from its hash.  It is not
    stored, since the number of such names is unbounded.
    """
    index = indexes.get(name)
    return len(indexes) + zlib.crc32(name.encode()) if index is None else index


def _seconds_until(moment: int) -> float:
    return max(0, moment - clock()) / MICROSECONDS_PER_SECOND
