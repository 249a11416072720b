"""Compares measured latencies with those of the queue model, for load sent directly to one upstream."""

from __future__ import annotations

from linetrack.emulator.ledger_events import RequestSent
from linetrack.emulator.queue_model import UpstreamQueue
from linetrack.emulator.request_work import request_work
from linetrack.emulator.schema import FaultKind
from linetrack.experiments import latency
from linetrack.experiments.schema import Experiment

TAIL_PERCENTILE = "p999_ms"  # compared separately, as few requests determine it


def latency_differences(
    experiment: Experiment, start: int, sent: list[RequestSent], metrics: dict[str, float]
) -> dict[str, float]:
    """Return the largest relative difference of the measured latencies from those of the model."""
    model = model_latencies(experiment, start, sent)
    tail = {TAIL_PERCENTILE: model.pop(TAIL_PERCENTILE)}
    return {
        "disagrees_p999": _largest_difference(metrics, tail),
        "disagrees": _largest_difference(metrics, model),
    }


def model_latencies(experiment: Experiment, start: int, sent: list[RequestSent]) -> dict[str, float]:
    """Return the latencies that the model gives for the due times of these requests, without any sockets."""
    host_class = experiment.fleet.host_classes[0]
    queue = UpstreamQueue(host_class, None)
    stalls = _stalls(experiment, start)
    classes = {request_class.name: request_class for request_class in experiment.classes}
    by_due_time = sorted(sent, key=lambda request: request.due_at)
    seed = int(by_due_time[0].trace.partition("-")[0], 16)
    response_delay = round(host_class.response_delay_ms * 1000)
    latencies = []
    for request in by_due_time:
        stalled_until = max((end for begin, end in stalls if begin <= request.due_at < end), default=0)
        work = request_work(classes[request.class_name], request.trace, seed)
        if execution := queue.submit(request.due_at, work, 1.0, stalled_until):
            latencies.append(execution.ends_at + response_delay - request.due_at)
    return latency.summarize("", latencies)


def _stalls(experiment: Experiment, start: int) -> list[tuple[int, int]]:
    """Return the begin and end of each stall, in microseconds."""
    return [
        (start + round(fault.at_s * 1e6), start + round((fault.at_s + fault.duration_s) * 1e6))
        for fault in experiment.faults
        if fault.kind is FaultKind.STALL
    ]


def _largest_difference(measured: dict[str, float], model: dict[str, float]) -> float:
    differences = [abs(measured[name] / model[name] - 1) for name in model if name in measured]
    return max(differences, default=1.0)
