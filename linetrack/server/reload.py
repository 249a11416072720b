"""Reading the configuration again at SIGHUP, and bringing it into force while requests are in flight.

Owns the configuration in force.  How the policy changes its settings is decided in
`linetrack/control/settings_switch.py`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import structlog
from gevent.event import Event

from linetrack.control.metrics import Metrics
from linetrack.control.settings_switch import SettingsSwitch
from linetrack.server.attempt_runner import AttemptRunner
from linetrack.server.clock import clock
from linetrack.server.config import HTTP1_STREAMS_PER_CONNECTION, Config, ConfigError
from linetrack.server.discovery_client import DiscoveryClient
from linetrack.server.dispatcher import Dispatcher
from linetrack.server.listener import Listener
from linetrack.server.notifications import SerializedCallback
from linetrack.server.upstream_pool import UpstreamPool

log = structlog.get_logger()

SETTINGS_KEY = "settings"


@dataclass(slots=True, frozen=True)
class ConfiguredParts:
    """The parts of the program that a new configuration reaches."""

    dispatcher: Dispatcher
    policy_switch: SettingsSwitch
    listener: Listener
    upstreams: UpstreamPool
    attempt_runner: AttemptRunner
    discovery: DiscoveryClient
    metrics: Metrics


class Reloader:
    """The configuration in force, which each SIGHUP may replace."""

    def __init__(self, read: Callable[[], Config], config: Config, parts: ConfiguredParts) -> None:
        """Make one with `config` in force.

        `read` returns the configuration as its file is now, or raises a ConfigError.
        """
        self.config = config
        self.max_timeout = config.max_class_timeout  # of any class since the start, in microseconds
        self.requested = Event()
        self._read = read
        self._parts = parts

    def run(self) -> None:
        """Reload each time that `requested` is set, for ever."""
        while True:
            self.requested.wait()
            self.requested.clear()
            self._reload()

    def _reload(self) -> None:
        """Read the configuration again and apply it; a faulty one changes nothing."""
        try:
            read = self._read()
            new = read.for_reload_of(self.config)
        except ConfigError as fault:
            self._parts.metrics.invalid_configs += 1
            log.error("reload_rejected", fault=str(fault))
            return
        needs_restart = self.config.keys_needing_restart(read)
        switches_settings = not new.has_same_settings(self.config)
        if switches_settings and not self._parts.policy_switch.is_supported:
            needs_restart = [*needs_restart, SETTINGS_KEY]
            switches_settings = False
        self._parts.metrics.accepted_configs += 1
        log.info("reloaded", discovery=new.discovery, switched=switches_settings, needs_restart=needs_restart)
        self._parts.discovery.switch_server(new.discovery)
        if switches_settings:
            log_unused_multiplexing(new)
            self._apply(new)

    def _apply(self, new: Config) -> None:
        """Apply other settings at one moment: nothing in here waits.

        The dispatcher takes what was read before this moment under the old settings, and what is read after
        it under the new ones.
        """
        self._parts.upstreams.configure(new.dial_timeout, new.keep_alive_timeout)
        self._parts.attempt_runner.configure(new.load_report_fields)
        self._parts.discovery.configure(new.zone_names, new.host_class_names, new.settings)
        self._parts.metrics.declare_classes(new.class_names)
        self._parts.listener.validator.configure(new.class_names, new.class_timeouts)
        self._parts.dispatcher.enqueue(SerializedCallback(partial(self._switch_policy, new)), clock())
        self.config = new
        self.max_timeout = max(self.max_timeout, new.max_class_timeout)

    def _switch_policy(self, new: Config) -> None:
        in_flight = self._parts.policy_switch.switch(new.settings)
        log.info(
            "settings_switched", in_flight=in_flight, classes=new.class_names, **self._parts.metrics.totals()
        )


def log_unused_multiplexing(config: Config) -> None:
    """Warn where more requests a connection are configured than HTTP/1.1 carries at once."""
    if config.configured_streams > HTTP1_STREAMS_PER_CONNECTION:
        log.warning(
            "multiplex_unused", configured=config.configured_streams, used=HTTP1_STREAMS_PER_CONNECTION
        )
