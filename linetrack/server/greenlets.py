"""Greenlets that the program cannot do without."""

from __future__ import annotations

import os
from collections.abc import Callable

import gevent
import structlog

log = structlog.get_logger()

CRASHED_EXIT_STATUS = 1


def spawn_essential(name: str, work: Callable[[], None]) -> gevent.Greenlet:
    """Spawn a greenlet without which the program is of no use; if it raises, the process ends at once.

    A process that lived on without one of these would accept connections and never answer.
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
