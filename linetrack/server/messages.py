"""HTTP bytes to small typed values and back.

Owns the protocol's names (headers, paths, statuses) and its size limits; each message is decoded once and
encoded once.  Must never touch a socket, read a clock or decide what becomes of a request.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from ipaddress import IPv4Address
from typing import Any, Protocol

import httptools

from linetrack.policy.events import EndpointStatus

HELD = 64 * 1024  # bytes up to which a body is one piece, held until it is whole; longer ones are parts
MOST_BODY = 32 * 1024 * 1024  # of a request, or of an upstream's answer
PIECE = 4 * 1024  # bytes under which what comes is put to what came before
MOST_HEAD = 16 * 1024
MOST_LIST = 16 * 1024 * 1024  # a discovery answer: thousands of entries with room to spare
READY_PATH = "/_health"
LIST_PATH = "/catalog/members"
MEMBER_STATES = {"SERVING": EndpointStatus.UP, "DRAINING": EndpointStatus.DRAINING, "DELETED": EndpointStatus.REMOVED}
REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
    409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large",
    500: "Internal Server Error", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip


class MalformedError(Exception):
    """Bytes that are no message of ours; `status` is what a client is told."""

    def __init__(self, what: str, status: int = 400) -> None:
        super().__init__(what)
        self.status = status


class Upload(Protocol):
    """A body that goes on as it comes."""

    length: int | None  # in bytes, where it was told

    def next(self) -> list[bytes | bytearray]:
        """Wait for what comes next; nothing once it is whole.  An OSError or a MalformedError where it breaks
        off."""
        ...


@dataclass(slots=True)
class ClientRequest:
    """One whole request from the application, as its bytes say."""

    method: str
    target: str
    trace: str = ""
    idempotency: str = ""
    content_type: str = ""
    expires: str = ""
    again: bool = False
    props: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep: bool = True
    old: bool = False  # of HTTP/1.0, which knows no chunks
    waits: bool = False  # for a 100 before it sends its body
    parts: Sequence[bytes | bytearray] = ()  # a long body, which is not in `body`
    rest: Upload | None = None  # a body that goes on as it comes; `parts` has the last of it
    whole: bool = False  # it has been read to its end
    klass: str = ""  # the name of its class, once it was looked for

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    def steps(self) -> list[str]:
        return [part for part in self.path.split("/") if part]


@dataclass(slots=True)
class Response:
    """One whole answer from an upstream or from discovery."""

    status: int
    body: bytes = b""
    content_type: str = ""
    never_ran: bool = False
    report: str = ""
    keep: bool = True
    length: int | None = None  # bytes of the body as its head says, also where there is none (HEAD)


class _Message:
    """What both readers share: one message at a time, its head and body bounded."""

    def __init__(self, most_body: int, held: int) -> None:
        self.most_body, self.held = most_body, held
        self.long = False  # the body at hand is, or is to be, more than is held until it is whole
        self.deaf = False  # what comes is no part of a body that anybody wants
        self.headers: dict[bytes, bytes] = {}
        self.lengths: set[bytes] = set()
        self.chunks: list[bytes | bytearray] = []
        self.size = self.head = self.waiting = 0
        self.headed = False  # the head of the message at hand has come whole

    def on_message_begin(self) -> None:
        self.headers, self.chunks, self.headed = {}, [], False
        self.lengths.clear()
        self.size, self.long = 0, False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.head += len(name) + len(value)
        if self.head > MOST_HEAD:
            raise MalformedError("the head is too large", 431)
        if self.headed:
            return  # guards against a trailer in the place of what the head said
        name = name.lower()
        if name == b"content-length":
            self.lengths.add(value.strip())
            if len(self.lengths) > 1:
                raise MalformedError("two lengths that disagree")
        self.headers[name] = value

    def on_headers_complete(self) -> None:
        self.head, self.waiting, self.headed = 0, 0, True
        if self.lengths and b"transfer-encoding" in self.headers:
            raise MalformedError("a length and chunks at once")
        length = self.announced()
        if length is not None and length > self.held:
            self.long = True
            if length > self.most_body:
                raise MalformedError("the body is too large", 413)

    def on_body(self, body: bytes) -> None:
        if self.deaf:
            return
        self.size += len(body)
        if self.size > self.held:
            self.long = True
            if self.size > self.most_body:
                raise MalformedError("the body is too large", 413)
        last = self.chunks[-1] if self.chunks else None
        if last is None or len(body) >= PIECE or len(last) >= HELD:
            self.chunks.append(body)
        elif isinstance(last, bytearray):
            last += body
        else:
            # guards against a body that comes byte by byte, each of which would cost forty
            self.chunks[-1] = bytearray(last) + body

    def take(self) -> list[bytes | bytearray]:
        """What came of the body since it was last asked, which is no longer kept here."""
        taken, self.chunks = self.chunks, []
        return taken

    def announced(self) -> int | None:
        """Bytes of the body at hand, as its head says; None where it does not."""
        for length in self.lengths:
            if length.isdigit():
                return int(length)
        return None

    def close(self) -> None:
        """Nothing more is read: parser and reader hold each other, which only a full collection would
        notice."""
        self.parser: Any = None

    def text(self, name: bytes) -> str:
        return self.headers.get(name, b"").decode("latin-1").strip()


def _feed(parser: Any, data: bytes, message: _Message) -> None:
    """Feed a parser; whatever is wrong with the bytes comes out as `MalformedError`."""
    message.waiting = 0 if message.headed else message.waiting + len(data)
    try:
        parser.feed_data(data)
    except httptools.HttpParserError as fault:
        cause = fault.__context__
        if isinstance(cause, MalformedError):
            raise cause from None
        raise MalformedError(f"not HTTP: {fault}") from None
    # guards against a header without end, which the parser would buffer: what came is counted here
    if not message.headed and message.waiting > 2 * MOST_HEAD:
        raise MalformedError("the head is too large", 431)


class RequestReader(_Message):
    """Bytes of one client connection to whole requests."""

    def __init__(self) -> None:
        super().__init__(MOST_BODY, HELD)
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.request = ClientRequest("", "")  # the one at hand, once its head has come whole
        self.whole: list[ClientRequest] = []
        self.open = False  # a request has begun and is not whole
        self.fault: MalformedError | None = None

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.target, self.open = b"", True

    def on_url(self, url: bytes) -> None:
        self.target += url
        if len(self.target) > MOST_HEAD:
            raise MalformedError("the target is too long", 431)

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        self.request = ClientRequest(
            self.parser.get_method().decode("latin-1"),
            self.target.decode("latin-1"),
            self.text(b"x-trace-id"),
            self.text(b"idempotency-key"),
            self.text(b"content-type"),
            self.text(b"x-expires-in"),
            self.text(b"x-second-try") == "1",
            parse_properties(self.text(b"x-props")),
            b"",
            self.parser.should_keep_alive(),
            self.parser.get_http_version() == "1.0",
            self.text(b"expect").lower() == "100-continue",
        )

    def on_message_complete(self) -> None:
        if self.parser.should_upgrade():
            raise MalformedError("an upgrade was asked for")
        self.open, self.request.whole = False, True
        if self.request.rest is None and self.size <= HELD:
            self.request.body = b"".join(self.take())
        else:
            self.request.parts = self.take()
        if self.request.rest is None:
            self.whole.append(self.request)

    def feed(self, data: bytes) -> list[ClientRequest]:
        """The requests that these bytes complete, in order; what is wrong behind them is kept as `fault`."""
        try:
            _feed(self.parser, data, self)
        except MalformedError as fault:
            if not self.whole:
                raise
            self.fault = fault
        done, self.whole = self.whole, []
        return done


class ResponseReader(_Message):
    """Bytes of one connection to an upstream or to discovery to one answer at a time.

    `held` is the size up to which an answer's body is kept here until it is whole.
    """

    def __init__(self, most_body: int, held: int) -> None:
        super().__init__(most_body, held)
        self.parser = httptools.HttpResponseParser(self)
        self.answer: Response | None = None  # the one at hand, once its head has come whole
        self.whole: Response | None = None
        self.stray = False  # something came that no request asked for
        self.bodiless = False  # the answer has no body, whatever its head says of one

    def on_message_begin(self) -> None:
        self.stray = self.whole is not None
        if not self.stray:
            # what follows an answer must not take the last of it away
            super().on_message_begin()

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        status = self.parser.get_status_code()
        if status < 200 or self.whole is not None:
            return
        self.answer = Response(
            status,
            b"",
            self.text(b"content-type"),
            self.text(b"x-never-ran") == "1",
            self.text(b"endpoint-load-metrics"),
            False,
            self.announced(),
        )
        if self.bodiless:
            # the parser waits for a body, so that the connection is of no further use
            self.whole, self.deaf = self.answer, True

    def on_message_complete(self) -> None:
        if self.answer is not None and self.whole is None:
            self._end(self.parser.should_keep_alive())

    def _end(self, keep: bool) -> None:
        assert self.answer is not None
        self.whole, self.answer.keep, self.deaf = self.answer, keep, True
        if not self.long:
            self.whole.body = b"".join(self.take())

    def finish(self) -> Response | None:
        """The connection has ended: the answer, where its end is that of the connection.  One without a body
        cannot be told from one that was cut off, and is none."""
        if self.answer is not None and self.whole is None and self.size and self._until_close():
            self._end(False)
        return self.whole

    def _until_close(self) -> bool:
        return not self.lengths and b"transfer-encoding" not in self.headers

    def feed(self, data: bytes) -> Response | None:
        """The answer, once it is whole; what follows it makes the connection useless, not the answer."""
        try:
            _feed(self.parser, data, self)
        except MalformedError:
            if self.whole is None:
                raise
            self.stray = True
        return self.whole

    def next(self) -> None:
        self.whole = self.answer = None
        self.deaf = False


def parse_properties(text: str) -> dict[str, str]:
    """`name=value,name=value`; a part of another form is passed over."""
    pairs = (part.partition("=") for part in text.split(","))
    return {name.strip(): value.strip() for name, sign, value in pairs if sign}


def parse_timeout(text: str) -> int | None:
    """`X-Expires-In` in microseconds; None where it is no number."""
    try:
        # an underscore is a sign of Python's own
        seconds = math.nan if "_" in text else float(text)
    except ValueError:
        return None
    return round(seconds * 1_000_000) if math.isfinite(seconds) else None


def parse_load_report(text: str, fields: tuple[str, ...]) -> tuple[float, ...]:
    """A load report's values in the order of the settings; what is missing or no number is NaN."""
    kind, _, rest = text.partition(" ")
    if kind.upper() != "TEXT":
        return ()
    values = parse_properties(rest)
    row = []
    for name in fields:
        try:
            row.append(float(values.get(name, "nan")))
        except ValueError:
            row.append(math.nan)
    return tuple(row) if any(value == value for value in row) else ()


def _head(start: str, fields: list[tuple[str, str]], body: bytes) -> bytes:
    lines = "".join([f"{name}: {value}\r\n" for name, value in fields if value])
    return f"{start}\r\n{lines}\r\n".encode("latin-1") + body


def encode_request(request: ClientRequest, to: tuple[str, int], remaining: int) -> bytes:
    """The request as it goes on to an upstream, which is told how long it will be waited for; without the
    parts of a long body, which follow."""
    fields = [
        ("Host", f"{to[0]}:{to[1]}"),
        ("X-Trace-Id", request.trace),
        ("Idempotency-Key", request.idempotency),
        ("X-Expires-In", f"{max(0, remaining) / 1_000_000:.6f}"),
        ("Content-Type", request.content_type),
    ]
    length = len(request.body) + sum(map(len, request.parts))
    if request.rest is not None:
        known = request.rest.length
        fields.append(("Transfer-Encoding", "chunked") if known is None else ("Content-Length", str(known)))
    elif length or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        fields.append(("Content-Length", str(length)))
    return _head(f"{request.method} {request.target} HTTP/1.1", fields, request.body)


def encode_response(
    status: int,
    body: bytes = b"",
    retry_after: int = 0,
    keep: bool = True,
    content_type: str = "",
    old: bool = False,
    length: int | None = None,
) -> bytes:
    """An answer to the application; advice to come back is in seconds, never rounded to nothing.  `length`
    stands for that of a body which is not sent."""
    fields = [
        ("Content-Type", content_type),
        ("Content-Length", str(len(body) if length is None else length)),
        ("Retry-After", _seconds(retry_after) if retry_after else ""),
        ("Connection", _connection(keep, old)),
    ]
    return _head(f"HTTP/1.1 {status} {REASONS[status]}", fields, body)


def _connection(keep: bool, old: bool) -> str:
    return ("keep-alive" if old else "") if keep else "close"


class Framing(Enum):
    """How the end of a long answer is told."""

    LENGTH = "its length"
    CHUNKS = "a last chunk"
    CLOSE = "the connection's end"


def framing(length: int | None, old: bool) -> Framing:
    if length is not None:
        return Framing.LENGTH
    return Framing.CLOSE if old else Framing.CHUNKS


def encode_response_head(how: Framing, length: int | None, keep: bool, content_type: str, old: bool) -> bytes:
    """The head of a long answer that is served."""
    fields = [
        ("Content-Type", content_type),
        ("Content-Length", str(length) if how is Framing.LENGTH else ""),
        ("Transfer-Encoding", "chunked" if how is Framing.CHUNKS else ""),
        ("Connection", _connection(keep, old)),
    ]
    return _head("HTTP/1.1 200 OK", fields, b"")


def chunk(data: bytes | bytearray) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), bytes(data))


LAST_CHUNK = b"0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def _seconds(us: int) -> str:
    """As whole seconds where it is, since most clients read only those (RFC 9110, 10.2.3)."""
    return str(us // 1_000_000) if us % 1_000_000 == 0 else f"{us / 1_000_000:.6f}"


def encode_poll(to: tuple[str, int], version: int | None = None, hold_ms: int = 0) -> bytes:
    """A call to discovery: the whole list, or a watch from a version on."""
    query = "" if version is None else f"?from={version}&hold_ms={hold_ms}"
    return _head(f"GET {LIST_PATH}{query} HTTP/1.1", [("Host", f"{to[0]}:{to[1]}")], b"")


@dataclass(slots=True, frozen=True)
class EndpointRecord:
    """One entry of discovery's list, in its own words."""

    name: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    health: EndpointStatus
    weight: float
    started_ms: int


@dataclass(slots=True, frozen=True)
class EndpointRecords:
    version: int
    full: bool
    members: tuple[EndpointRecord, ...]
    passed_over: int = 0  # entries that made no sense


def address(text: str) -> tuple[str, int]:
    """`address:port`, the address a number as there is no DNS; a ValueError where it is none."""
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
        number = int(port)
    except ValueError:
        number = 0
    if not 0 < number < 65536:
        raise ValueError(f"{text!r} is no address:port")
    return host, number


def encode_endpoints(members: Iterable[EndpointRecord]) -> list[dict[str, Any]]:
    """The entries in discovery's form."""
    states = {health: state for state, health in MEMBER_STATES.items()}
    return [
        {
            "id": member.name,
            "addr": f"{member.address[0]}:{member.address[1]}",
            "zone": member.zone,
            "kind": member.kind,
            "cell": member.cell,
            "state": states[member.health],
            "weight": member.weight,
            "started_ms": member.started_ms,
        }
        for member in members
    ]


def _member(value: Any) -> EndpointRecord:
    weight = value.get("weight", 1.0)
    return EndpointRecord(
        _text(value["id"]),
        # one that is gone needs no address
        address(_text(value["addr"])) if value.get("state") != "DELETED" else ("", 0),
        str(value.get("zone", "")),
        str(value.get("kind", "")),
        int(value.get("cell", 0)),
        MEMBER_STATES[value["state"]],
        float(weight),
        max(0, int(value.get("started_ms", 0))),
    )


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is no name")
    return value


def parse_endpoint_list(value: Any) -> EndpointRecords:
    """Discovery's answer; an entry that makes no sense is passed over, as is all but the last of doubles."""
    try:
        version, full, entries = int(value["version"]), value["full"], value["servers"]
        if not isinstance(full, bool) or not isinstance(entries, list):
            raise ValueError("full or servers is of another type")
    except (KeyError, TypeError, ValueError, OverflowError) as fault:
        raise MalformedError(f"no list of members: {fault!r}") from None
    members: dict[str, EndpointRecord] = {}
    passed_over = 0
    for entry in entries:
        try:
            member = _member(entry)
        except (KeyError, TypeError, ValueError, OverflowError, AttributeError):
            passed_over += 1
            continue
        members[member.name] = member
    if passed_over and not members:
        raise MalformedError("no entry of the list makes sense")
    return EndpointRecords(version, full, tuple(members.values()), passed_over)


def decode_endpoint_list(body: bytes) -> EndpointRecords:
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        raise MalformedError("the list of members is not JSON") from None
    return parse_endpoint_list(value)
