"""The sidecar process from start to exit: its components, phases and signals.

It reads no messages and makes no decisions about requests.
"""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable, Mapping
from dataclasses import asdict
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from linetrack.control.diagnostics import ResourceGauges
from linetrack.control.metrics import Metrics
from linetrack.control.settings_switch import SettingsSwitch
from linetrack.policy.balancer import Balancer
from linetrack.policy.time_units import SECOND
from linetrack.server.admin import AdminServer
from linetrack.server.attempt_runner import AttemptRunner
from linetrack.server.budget import Budget
from linetrack.server.clock import clock
from linetrack.server.config import Config, ConfigError, read_config
from linetrack.server.discovery_client import DiscoveryClient
from linetrack.server.dispatcher import Dispatcher, PolicyFactory
from linetrack.server.greenlets import spawn_essential
from linetrack.server.hot_restart import HotRestart
from linetrack.server.listener import Listener
from linetrack.server.logging_setup import configure_logging, get_logger
from linetrack.server.reload import ConfiguredComponents, Reloader, log_unused_multiplexing
from linetrack.server.upstream_pool import UpstreamPool

if TYPE_CHECKING:
    from linetrack.control.overload_control import OverloadPhase, OverloadStatus

log = get_logger(__name__)

CONNECT_GRACE_SECONDS = 0.5  # after SIGTERM, while clients may still connect
STREAM_GRACE_SECONDS = 30.0  # after all other requests have ended, for responses that are being streamed
FINAL_WRITE_GRACE_US = 100_000  # after the last response, until its last bytes are read
DRAIN_POLL_SECONDS = 0.01  # interval of checking whether every request has its response
ENDPOINT_LIST_TIMEOUT_SECONDS = 4.0  # after this the process serves without a response from discovery
GC_THRESHOLD = 20_000  # allocations between collections of young objects, which cost milliseconds
# Interval of collections of all objects created since startup, so that memory use does not grow.
FULL_GC_INTERVAL_SECONDS = 5.0

EXIT_OK = 0
EXIT_CANNOT_LISTEN = 1
EXIT_CONFIG_INVALID = 2


class Phase(Enum):
    """The phases of the process; the values are logged."""

    STARTING = "starting"  # the configuration is read and the policy is created
    SERVING = "serving"
    DRAINING = "draining"  # after SIGTERM: connections are still accepted, or handed over to a successor
    SHUTTING_DOWN = "shutting_down"  # connections are not accepted; requests in flight get their responses
    ENDED = "ended"


class Sidecar:
    """Wires the components of the process together, and starts and stops them in order."""

    def __init__(self, load_config: Callable[[], Config], make_policy: PolicyFactory = Balancer) -> None:
        """Create a sidecar that is not running yet.

        Args:
            load_config: returns the configuration, at startup and at each reload, or raises a ConfigError.
            make_policy: creates the policy from its settings and a seed.
        """
        config = load_config()
        self.phase = Phase.STARTING
        self.metrics = Metrics()
        self.metrics.declare_classes(config.class_names)
        self.budget = Budget(config.sockets, config.memory_mb)
        self.upstreams = UpstreamPool(self.budget.descriptors, config.dial_timeout, config.keep_alive_timeout)
        self.attempt_runner = self._make_attempt_runner(config)
        self.discovery = self._make_discovery_client(config)
        if config.overload_control_enabled:
            make_policy = with_overload_control(make_policy)
        self.policy_switch = SettingsSwitch(make_policy(config.settings, config.seed))
        self.dispatcher = self._make_dispatcher()
        self.listener = self._make_listener(config)
        components = ConfiguredComponents(
            dispatcher=self.dispatcher,
            policy_switch=self.policy_switch,
            listener=self.listener,
            upstreams=self.upstreams,
            attempt_runner=self.attempt_runner,
            discovery=self.discovery,
            metrics=self.metrics,
        )
        self.reloader = Reloader(load_config, config, components)
        self.hot_restart = HotRestart(
            lambda: self.config,
            listener=self.listener,
            upstreams=self.upstreams,
            discovery=self.discovery,
            policy_switch=self.policy_switch,
            budget=self.budget,
        )
        self._shutdown_requested = Event()

    @property
    def config(self) -> Config:
        """The configuration in force."""
        return self.reloader.config

    def is_serving(self) -> bool:
        """Return whether the process is ready for requests and not shutting down."""
        return self.phase is Phase.SERVING

    def run(self) -> int:
        """Run from start to exit; return the exit status.  Raises OSError if an address is not available."""
        # gevent would otherwise record which greenlet spawned which, and walk the stack at each spawn.
        gevent.config.track_greenlet_tree = False
        self._install_signal_handlers()
        log_unused_multiplexing(self.config)
        endpoints = self.hot_restart.open_listener()
        self.discovery.restore(endpoints)
        self._spawn_greenlets()
        _tune_garbage_collection()
        self._wait_for_endpoint_list()
        self.budget.monitor.set_base()
        self._enter(Phase.SERVING)
        self.hot_restart.follow_predecessor()
        self._shutdown_requested.wait()
        self._drain()
        self._enter(Phase.ENDED)
        return EXIT_OK

    # --- Components --------------------------------------------------------------------------------
    def _make_attempt_runner(self, config: Config) -> AttemptRunner:
        return AttemptRunner(
            self.upstreams,
            self.budget,
            config.load_report_fields,
            lambda notification, seen_at: self.dispatcher.enqueue(notification, seen_at),
            self.metrics,
        )

    def _make_discovery_client(self, config: Config) -> DiscoveryClient:
        return DiscoveryClient(
            config.discovery,
            self.upstreams,
            lambda update, seen_at: self.dispatcher.enqueue(update, seen_at),
            config.zone_names,
            config.host_class_names,
            config.settings,
            config.seed,
        )

    def _make_dispatcher(self) -> Dispatcher:
        return Dispatcher(
            self.policy_switch,
            self.attempt_runner.start,
            self.attempt_runner.abort,
            self.discovery.watch,
            self.upstreams.close_idle,
            self.metrics,
        )

    def _make_listener(self, config: Config) -> Listener:
        return Listener(
            self.dispatcher,
            self.budget,
            config.class_names,
            config.class_timeouts,
            self.is_serving,
            config.retry_after_in_whole_seconds,
            self.metrics,
        )

    # --- Start -------------------------------------------------------------------------------------
    def _install_signal_handlers(self) -> None:
        """Handle SIGTERM, SIGINT and SIGHUP.

        A second SIGTERM has no effect; a SIGHUP during a reload requests another reload.
        """
        gevent.signal_handler(signal.SIGTERM, self._shutdown_requested.set)
        gevent.signal_handler(signal.SIGINT, self._shutdown_requested.set)
        gevent.signal_handler(signal.SIGHUP, self.reloader.requested.set)

    def _spawn_greenlets(self) -> None:
        if self.config.admin is not None:
            admin = AdminServer(self.config.admin, self.is_serving, self._metrics_text)
            spawn_essential("admin", admin.accept)
        spawn_essential("dispatcher", self.dispatcher.run)
        if not self.hot_restart.has_predecessor:
            self.hot_restart.start_accepting()
        spawn_essential("discovery", self.discovery.run)
        spawn_essential("idle connection expiry", self.upstreams.run_expiry)
        spawn_essential("client sweep", self.listener.sweep)
        spawn_essential("reload", self.reloader.run)
        spawn_essential("garbage collection", _collect_garbage_forever)

    def _wait_for_endpoint_list(self) -> None:
        """Where lists are pushed, wait for the first response from discovery.

        Discovery's list is then binding from the start of the process, so the configured list may be too old
        to use.  All processes that start together poll discovery at once, and it may be cut off.  If it does
        not respond in time, it is treated as unreachable; if it is down, it has no list.  In both cases only
        the configured list is available.
        """
        if not self.discovery.schedule.updates_are_pushed:
            return
        events = [self.discovery.initial_poll_finished, self._shutdown_requested]
        if not gevent.wait(events, ENDPOINT_LIST_TIMEOUT_SECONDS, count=1):
            log.warning("endpoint_list_timeout", entries=len(self.upstreams.endpoints))

    # --- End ---------------------------------------------------------------------------------------
    def _drain(self) -> None:
        """Hand over to a successor or finish requests in flight, within the longest timeout of any class."""
        self._enter(Phase.DRAINING)
        started_at = clock()
        self.hot_restart.begin_shutdown()
        grace_us = int(CONNECT_GRACE_SECONDS * SECOND) + FINAL_WRITE_GRACE_US
        deadline = started_at + self.reloader.max_timeout + grace_us
        self.dispatcher.shutdown_deadline = deadline - FINAL_WRITE_GRACE_US
        if not self.hot_restart.wait_for_handover(deadline):
            self._shut_down(deadline)
        self._finish_streams()

    def _shut_down(self, deadline: int) -> None:
        """End without a successor: close each connection once it has no request in flight."""
        if self.hot_restart.is_accepting:
            # A process that never accepted leaves the queued connections to the one that accepts.
            gevent.sleep(min(CONNECT_GRACE_SECONDS, _seconds_until(deadline - FINAL_WRITE_GRACE_US)))
            self.hot_restart.stop_accepting()
            # Idle connections are closed first, to make room for those that wait in the queue.
            self.listener.close_between_requests()
            self.listener.stop_accepting()
        self.listener.close_between_requests()
        self._enter(Phase.SHUTTING_DOWN)
        while self.listener.connections and clock() < deadline:
            gevent.sleep(DRAIN_POLL_SECONDS)

    def _finish_streams(self) -> None:
        """Wait for responses that are still being streamed, as their upstreams go on sending them."""
        deadline = clock() + int(STREAM_GRACE_SECONDS * SECOND)
        while self.dispatcher.has_open_streams() and clock() < deadline:
            gevent.sleep(DRAIN_POLL_SECONDS)

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        log.info("phase_changed", phase=phase.value, **self.metrics.totals())

    def _metrics_text(self) -> str:
        unavailable = self.policy_switch.count_unavailable(clock())
        metrics = self.metrics.prometheus_text(len(self.upstreams.endpoints), unavailable)
        return metrics + self.metrics.diagnostics.prometheus_text(self._resource_gauges())

    def _resource_gauges(self) -> ResourceGauges:
        memory = self.budget.memory
        return ResourceGauges(
            resident_bytes=self.budget.monitor.resident_bytes(),
            memory_limit_bytes=self.budget.monitor.pressure.limit_bytes,
            reserved_bytes=memory.reserved_bytes,
            connections=self.listener.slots.count_by_state(),
            descriptors=self.budget.descriptors.in_use,
            memory_level=self.budget.monitor.measure().value,
        )


def main(environ: Mapping[str, str]) -> int:
    """Run the platform's sidecar; return the exit status."""
    return serve(partial(read_config, environ))


def serve(load_config: Callable[[], Config], make_policy: PolicyFactory = Balancer) -> int:
    """Run one sidecar in the foreground until SIGTERM; return the exit status."""
    configure_logging()
    try:
        sidecar = Sidecar(load_config, make_policy)
    except ConfigError as error:
        log.error("config_invalid", fault=str(error))
        return EXIT_CONFIG_INVALID
    try:
        return sidecar.run()
    except OSError as error:
        config = sidecar.config
        log.error("cannot_listen", address=config.listen, admin=config.admin, fault=str(error))
        return EXIT_CANNOT_LISTEN


def with_overload_control(make_policy: PolicyFactory) -> PolicyFactory:
    """Return a factory of the same policy with overload control, or `make_policy` if it is not `Balancer`."""
    if make_policy is not Balancer:
        return make_policy
    # Imported here to save memory in a sidecar without overload control.
    from linetrack.control.idempotency_keys import IdempotencyKeyTable
    from linetrack.control.overload_control import AdaptiveOverloadController

    return lambda settings, seed: Balancer(
        settings, seed, AdaptiveOverloadController(seed, _log_overload_phase), IdempotencyKeyTable()
    )


def _log_overload_phase(phase: OverloadPhase, status: OverloadStatus) -> None:
    log.info("overload_phase_changed", phase=phase.value, **asdict(status))


def _seconds_until(moment: int) -> float:
    return max(0, moment - clock()) / SECOND


def _tune_garbage_collection() -> None:
    """Collect seldom while serving, and exclude the objects created so far, as they stay in use."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)


def _collect_garbage_forever() -> None:
    while True:
        gevent.sleep(FULL_GC_INTERVAL_SECONDS)
        gc.collect()
