"""The configuration of an experiment's sidecars, in the platform's format."""

from __future__ import annotations

from typing import Any

from linetrack.config import operators
from linetrack.emulator.emulator import Emulator
from linetrack.emulator.schema import Fleet, RequestClass
from linetrack.experiments.schema import Experiment, Sidecars


def sidecar_config(experiment: Experiment, index: int, emulator: Emulator, listen: str) -> dict[str, Any]:
    """Return the configuration of one sidecar, which listens at the address `listen`."""
    sidecars = experiment.sidecars
    file = operators.OperatorsFile(
        version=1,
        sidecar=operators.Sidecar(
            name=f"n{index}",
            listen=listen,
            discovery=emulator.discovery_addresses[index],
            zone=sidecars.zones[index],
            instance=index,
            instance_count=len(sidecars.zones),
            seed=index + 1,
        ),
        zones=experiment.fleet.zones,
        classes=tuple(_request_class(request_class) for request_class in experiment.classes),
        limits=sidecars.limits,
        retries=sidecars.retries,
        overload_control=sidecars.overload_control,
        upstreams=_upstreams(experiment.fleet, sidecars),
    )
    known = {"version": 1, "full": True, "servers": emulator.entries}
    return {**operators.platform_form(file), "known": known}


def _request_class(request_class: RequestClass) -> operators.RequestClass:
    return operators.RequestClass(
        name=request_class.name,
        idempotency=request_class.idempotency,
        latency_objective_ms=request_class.latency_objective_ms,
        timeout_ms=request_class.timeout_ms,
        priority_weight=request_class.priority_weight,
        deduplication_scope=request_class.deduplication_scope,
        deduplication_window_ms=request_class.deduplication_window_ms,
    )


def _upstreams(fleet: Fleet, sidecars: Sidecars) -> operators.Upstreams:
    host_classes = fleet.host_classes
    return operators.Upstreams(
        keep_alive_ms=fleet.keep_alive_ms,
        load_report_fields=fleet.load_reports.fields,
        host_classes=tuple(host_class.name for host_class in host_classes),
        slow_start_initial_fraction=min(
            host_class.slow_start_initial_fraction for host_class in host_classes
        ),
        slow_start_ms=host_classes[0].slow_start_ms,
        overload_multiple=min(host_class.overload_multiple for host_class in host_classes),
        overload_window_ms=host_classes[0].overload_window_ms,
        drain_grace_ms=sidecars.drain_grace_ms,
        cross_zone_cost=sidecars.cross_zone_cost,
    )
