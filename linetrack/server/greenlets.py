"""Scheduling of greenlets: those that are essential, and giving way to others."""

from __future__ import annotations

import os
from collections.abc import Callable

import gevent

from linetrack.server.logging_setup import get_logger

log = get_logger(__name__)

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


def yield_to_event_loop() -> None:
    """Let the event loop handle everything that is ready, and continue in its next turn.

    A peer that sends and reads at full speed never lets its greenlet wait, and others would not be served.
    `gevent.sleep(0)` does not suffice: with it, greenlets run several times before the event loop looks at
    sockets and timers.
    """
    hub = gevent.get_hub()
    with hub.loop.timer(0.0) as timer:
        hub.wait(timer)
