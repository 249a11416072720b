"""One process that stands in for several upstreams and for discovery, while a crowd is measured.

A request takes a fixed time of work; a path that ends in `bytes-N` gets a response of N bytes.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from multiprocessing.connection import Connection

from linetrack.experiments.crowd import SIZE_PREFIX

WORK_SECONDS = 0.03
SMALL_RESPONSE = b"ok"
HOLD_SECONDS = 5.0  # of a poll of discovery, which never has anything new
MAX_HEAD_BYTES = 64 * 1024
STOP_POLL_SECONDS = 0.1


def serve(pipe: Connection, upstream_count: int) -> None:
    """Serve until the pipe is closed; send the addresses of the upstreams, then that of discovery."""
    asyncio.run(_serve(pipe, upstream_count))


async def _serve(pipe: Connection, upstream_count: int) -> None:
    upstreams = [
        await asyncio.start_server(_serve_upstream, "127.0.0.1", 0, limit=MAX_HEAD_BYTES, backlog=1024)
        for _ in range(upstream_count)
    ]
    addresses = ["{}:{}".format(*server.sockets[0].getsockname()) for server in upstreams]
    members = json.dumps({"version": 1, "full": True, "servers": member_entries(addresses)}).encode()

    async def serve_discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer with the whole list, a watch after a while."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"hold_ms" in head:
                    await asyncio.sleep(HOLD_SECONDS)
                writer.write(_response(members))

    discovery = await asyncio.start_server(serve_discovery, "127.0.0.1", 0)
    pipe.send([*addresses, "{}:{}".format(*discovery.sockets[0].getsockname())])
    with contextlib.suppress(EOFError, OSError):
        while not pipe.poll():
            await asyncio.sleep(STOP_POLL_SECONDS)


def member_entries(addresses: list[str]) -> list[dict[str, object]]:
    """Return the entries of a list of upstreams at these addresses, in discovery's form."""
    return [
        {"id": f"u{number}", "addr": address, "zone": "north", "kind": "plain", "cell": 1}
        | {"state": "SERVING", "weight": 1.0, "started_ms": 0}
        for number, address in enumerate(addresses)
    ]


async def _serve_upstream(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(_content_length(head))
            await asyncio.sleep(WORK_SECONDS)
            path = head.split(b" ", 2)[1].decode()
            _, _, size = path.partition(SIZE_PREFIX)
            writer.write(_response(bytes(int(size)) if size else SMALL_RESPONSE))
            await writer.drain()
    writer.close()


def _content_length(head: bytes) -> int:
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0


def _response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
