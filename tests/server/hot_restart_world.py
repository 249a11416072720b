"""A program that can be started again beside itself."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

from tests.stand_ins import Message, Sidecar, Upstream, Wire, World, answer, free_address, until
from tests.server.admin_client import enable_admin, send_admin_request


class RestartableWorld:
    """A world whose sidecar can be started again beside itself, with one folder for both."""

    def __init__(self, folder: Path, *upstreams: Upstream) -> None:
        self.folder = folder
        (folder / "t").mkdir()
        self.world = World(folder, *upstreams)
        self.old = self.world.sidecar
        self.old.environ["TMPDIR"] = str(folder / "t")
        enable_admin(self.old)
        self.successors: list[Sidecar] = []

    def __enter__(self) -> RestartableWorld:
        self.world.__enter__()
        return self

    def __exit__(self, *fault: Any) -> None:
        for successor in self.successors:
            successor.__exit__(None, None, None)
        self.world.__exit__(*fault)

    def start_successor(self, ready: bool = True, **changes: Any) -> Sidecar:
        """Start the program again, with an admin address of its own, and wait for it unless `ready` is false."""
        number = len(self.successors)
        folder = self.folder / f"successor-{number}"
        folder.mkdir()
        config = {**self.old.config, "admin_addr": free_address(), **changes}
        successor = Sidecar(folder, config, self.old.address, environ=dict(self.old.environ))
        self.successors.append(successor)
        successor.launch()
        if ready:
            until(lambda: is_running_and_ready(successor), "ready")
        return successor


def is_running_and_ready(sidecar: Sidecar) -> bool:
    """Whether its admin address reports that it is ready; fails where the process has ended."""
    assert sidecar.process and sidecar.process.poll() is None, sidecar.log()
    return is_ready(sidecar)


def is_ready(sidecar: Sidecar) -> bool:
    """Whether its admin address reports that it is ready."""
    try:
        return send_admin_request(sidecar.config["admin_addr"], "/admin/health").status == 200
    except (OSError, AssertionError):
        return False


def respond_slowly(message: Message, wire: Wire) -> bytes:
    """A script of an upstream that takes 20 ms."""
    time.sleep(0.02)
    return answer(b"ok")
