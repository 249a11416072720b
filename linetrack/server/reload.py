"""Configuration reload: reads the configuration again at SIGHUP and applies it with requests in flight.

Owns the configuration in force.  `linetrack/control/settings_switch.py` decides how the policy changes its
settings.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from gevent.event import Event

from linetrack.control.metrics import Metrics
from linetrack.control.settings_switch import SettingsSwitch
from linetrack.server.attempt_runner import AttemptRunner
from linetrack.server.clock import clock
from linetrack.server.config import HTTP1_STREAMS_PER_CONNECTION, Config, ConfigError
from linetrack.server.discovery_client import DiscoveryClient
from linetrack.server.dispatcher import Dispatcher
from linetrack.server.listener import Listener
from linetrack.server.logging_setup import get_logger
from linetrack.server.notifications import SerializedCallback
from linetrack.server.upstream_pool import UpstreamPool

log = get_logger(__name__)

SETTINGS_KEY = "settings"


@dataclass(slots=True, frozen=True)
class ConfiguredComponents:
    """The components that a new configuration is applied to."""

    dispatcher: Dispatcher
    policy_switch: SettingsSwitch
    listener: Listener
    upstreams: UpstreamPool
    attempt_runner: AttemptRunner
    discovery: DiscoveryClient
    metrics: Metrics


class Reloader:
    """Holds the configuration in force and replaces it at SIGHUP."""

    def __init__(
        self, load_config: Callable[[], Config], config: Config, components: ConfiguredComponents
    ) -> None:
        """Create a reloader with `config` in force.

        `load_config` returns the current configuration, or raises a ConfigError.
        """
        self.config = config
        self.max_timeout = config.max_class_timeout  # of any class since startup, in microseconds
        self.requested = Event()
        self._load_config = load_config
        self._components = components

    def run(self) -> None:
        """Reload each time that `requested` is set, forever."""
        while True:
            self.requested.wait()
            self.requested.clear()
            self._reload()

    def _reload(self) -> None:
        """Read the configuration again and apply it; an invalid one changes nothing."""
        try:
            loaded = self._load_config()
            new = loaded.for_reload_of(self.config)
        except ConfigError as error:
            self._components.metrics.invalid_configs += 1
            log.error("reload_rejected", fault=str(error))
            return
        needs_restart = self.config.keys_needing_restart(loaded)
        switches_settings = not new.has_same_settings(self.config)
        if switches_settings and not self._components.policy_switch.is_supported:
            needs_restart = [*needs_restart, SETTINGS_KEY]
            switches_settings = False
        self._components.metrics.accepted_configs += 1
        log.info("reloaded", discovery=new.discovery, switched=switches_settings, needs_restart=needs_restart)
        self._components.discovery.switch_server(new.discovery)
        if switches_settings:
            log_unused_multiplexing(new)
            self._apply(new)

    def _apply(self, new: Config) -> None:
        """Apply new settings without yielding to other greenlets.

        The dispatcher handles requests read before this call under the old settings, and requests read after
        it under the new ones.
        """
        self._components.upstreams.configure(new.dial_timeout, new.keep_alive_timeout)
        self._components.attempt_runner.configure(new.load_report_fields)
        self._components.discovery.configure(new.zone_names, new.host_class_names, new.settings)
        self._components.metrics.declare_classes(new.class_names)
        self._components.listener.validator.configure(new.class_names, new.class_timeouts)
        self._components.dispatcher.enqueue(SerializedCallback(partial(self._switch_policy, new)), clock())
        self.config = new
        self.max_timeout = max(self.max_timeout, new.max_class_timeout)

    def _switch_policy(self, new: Config) -> None:
        in_flight = self._components.policy_switch.switch(new.settings)
        log.info(
            "settings_switched",
            in_flight=in_flight,
            classes=new.class_names,
            **self._components.metrics.totals(),
        )


def log_unused_multiplexing(config: Config) -> None:
    """Warn if more concurrent requests per connection are configured than HTTP/1.1 supports."""
    if config.configured_streams > HTTP1_STREAMS_PER_CONNECTION:
        log.warning(
            "multiplex_unused", configured=config.configured_streams, used=HTTP1_STREAMS_PER_CONNECTION
        )
