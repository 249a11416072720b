"""A child process that reads commands as JSON lines from standard input, and exits at its end."""

from __future__ import annotations

import contextlib
import json
import signal
import subprocess
import sys
from types import TracebackType
from typing import Any, Self

import msgspec

EXIT_TIMEOUT_SECONDS = 10.0  # for a process to write its buffered data and exit


class ChildFailedError(Exception):
    """A child process did not start, or exited early.

    Attributes:
        module: the module that the process runs.
        reason: how the process exited.
    """

    def __init__(self, module: str, reason: str) -> None:
        self.module = module
        self.reason = reason
        super().__init__(f"{module} {reason}")


def _ignore_interrupts() -> None:
    # Otherwise Ctrl-C would end the process before the partial results are saved.
    signal.signal(signal.SIGINT, signal.SIG_IGN)


class ChildProcess:
    """A child process that runs one module."""

    def __init__(self, module: str, config: dict[str, Any]) -> None:
        """Start the process and send `config` as the first line of its input."""
        self.module = module
        self.process = subprocess.Popen(
            [sys.executable, "-m", module],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            preexec_fn=_ignore_interrupts,
        )
        self.send(config)

    def send(self, message: dict[str, Any]) -> None:
        """Write one line to the process's input.

        Raises:
            ChildFailedError: the process has exited.
        """
        assert self.process.stdin is not None
        try:
            self.process.stdin.write(msgspec.json.encode(message) + b"\n")
            self.process.stdin.flush()
        except OSError as error:
            raise ChildFailedError(self.module, f"has exited: {error.strerror}") from None

    def receive(self) -> dict[str, Any]:
        """Wait for the next line of the process's output and return it, decoded.

        Raises:
            ChildFailedError: the process has exited.
        """
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise ChildFailedError(self.module, f"exited with status {self.process.wait()}")
        message: dict[str, Any] = json.loads(line)
        return message

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited yet."""
        return self.process.poll() is None

    def stop(self) -> None:
        """Close the process's input and wait until it exits; kill it after `EXIT_TIMEOUT_SECONDS`."""
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
    """Child processes that are launched by a subclass, begin the timeline together and are stopped together.

    A context manager: the processes are launched on entry and stopped on exit.
    """

    def __init__(self) -> None:
        self.children: list[ChildProcess] = []

    def _launch(self) -> None:
        """Launch the processes and wait until they are ready."""
        raise NotImplementedError

    def __enter__(self) -> Self:
        try:
            self._launch()
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def start(self, start: int) -> None:
        """Tell the processes to begin the timeline at `start`, a time of the ledger's clock."""
        for child in self.children:
            child.send({"start": start})

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for child in self.children:
            child.stop()
        self.children = []
