"""A child process that takes orders as JSON lines on its standard input, and ends with it."""

from __future__ import annotations

import contextlib
import json
import signal
import subprocess
import sys
from types import TracebackType
from typing import Any, Self

import msgspec

EXIT_TIMEOUT_SECONDS = 10.0  # for a process to write what it holds and end


class ChildFailedError(Exception):
    """A process did not come up, or ended early.

    Attributes:
        module: the module that it runs.
        reason: how it ended.
    """

    def __init__(self, module: str, reason: str) -> None:
        self.module = module
        self.reason = reason
        super().__init__(f"{module} {reason}")


def _ignore_interrupts() -> None:
    # Ctrl-C would otherwise end the process before the partial results are kept
    signal.signal(signal.SIGINT, signal.SIG_IGN)


class ChildProcess:
    """One process that runs a module."""

    def __init__(self, module: str, config: dict[str, Any]) -> None:
        """Start it; `config` is the first line of its input."""
        self.module = module
        self.process = subprocess.Popen(
            [sys.executable, "-m", module],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            preexec_fn=_ignore_interrupts,
        )
        self.send(config)

    def send(self, message: dict[str, Any]) -> None:
        """Write one line to its input.

        Raises:
            ChildFailedError: it has ended.
        """
        assert self.process.stdin is not None
        try:
            self.process.stdin.write(msgspec.json.encode(message) + b"\n")
            self.process.stdin.flush()
        except OSError as error:
            raise ChildFailedError(self.module, f"has ended: {error.strerror}") from None

    def receive(self) -> dict[str, Any]:
        """Wait for the next line of its output.

        Raises:
            ChildFailedError: it has ended.
        """
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise ChildFailedError(self.module, f"ended with status {self.process.wait()}")
        message: dict[str, Any] = json.loads(line)
        return message

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self.process.poll() is None

    def stop(self) -> None:
        """Close its input and wait for its end; kill it where that takes too long."""
        assert self.process.stdin is not None
        assert self.process.stdout is not None
        with contextlib.suppress(OSError):
            self.process.stdin.close()
        try:
            self.process.wait(EXIT_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.process.stdout.close()


class ChildProcessGroup:
    """Processes that belong together: launched by a subclass, started at one time, stopped together.

    A context manager: the processes are launched as it is entered and stopped as it is left.
    """

    def __init__(self) -> None:
        self.children: list[ChildProcess] = []

    def _launch(self) -> None:
        """Start the processes and wait until they are ready."""
        raise NotImplementedError

    def __enter__(self) -> Self:
        try:
            self._launch()
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def start(self, at: int) -> None:
        """Let the timeline begin at that time of the ledger's clock."""
        for child in self.children:
            child.send({"start": at})

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for child in self.children:
            child.stop()
        self.children = []
