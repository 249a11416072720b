"""The load report that an upstream sends in a header of its responses."""

from __future__ import annotations

from collections import deque

from linetrack.emulator.queue_model import UpstreamQueue
from linetrack.emulator.schema import LoadReports

RATE_WINDOW_US = 1_000_000
MEAN_LATENCY_WEIGHT = 0.1  # weight of a new value in the exponentially weighted mean


class LoadReporter:
    """Measures the load of one upstream; the reported values are updated at the configured interval."""

    def __init__(self, config: LoadReports, queue: UpstreamQueue) -> None:
        self._config = config
        self._queue = queue
        self._mean_latency_ms = 0.0
        self._executed_at: deque[int] = deque()
        self._header = ""
        self._measured_at = 0

    def record(self, now: int, latency: int) -> None:
        """Record an executed request; `latency` is in microseconds."""
        self._mean_latency_ms += (latency / 1000 - self._mean_latency_ms) * MEAN_LATENCY_WEIGHT
        self._executed_at.append(now)
        while self._executed_at[0] < now - RATE_WINDOW_US:
            self._executed_at.popleft()

    def headers(self, now: int) -> tuple[str, ...]:
        """Return the headers for a response that is sent now; none if no fields are reported."""
        if not self._config.fields:
            return ()
        if not self._header or now >= self._measured_at + self._config.interval_ms * 1000:
            values = self._values(now)
            text = ", ".join(f"{name}={values[name]}" for name in self._config.fields)
            self._header = f"Endpoint-Load-Metrics: TEXT {text}"
            self._measured_at = now
        return (self._header,)

    def _values(self, now: int) -> dict[str, float]:
        waiting, in_flight = self._queue.load(now)
        return {
            "depth": waiting,
            "concurrent": in_flight,
            "load_share": min(1.0, in_flight / self._queue.host_class.cores),
            "mean_ms": round(self._mean_latency_ms, 3),
            "tps": len(self._executed_at),
        }
