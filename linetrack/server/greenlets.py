"""Essential greenlets: if one of them fails, the process exits."""

from __future__ import annotations

import os
from collections.abc import Callable

import gevent
import structlog

log = structlog.get_logger()

CRASHED_EXIT_STATUS = 1


def spawn_essential(name: str, work: Callable[[], None]) -> gevent.Greenlet:
    """Spawn a greenlet that the program cannot work without; if it raises, the process exits at once.

    A process that kept running without it could accept connections and never respond.
    """
    return gevent.spawn(_run_or_exit, name, work)


def _run_or_exit(name: str, work: Callable[[], None]) -> None:
    try:
        work()
    except gevent.GreenletExit:
        return
    except BaseException:
        log.exception("greenlet_crashed", greenlet=name)
        os._exit(CRASHED_EXIT_STATUS)
