"""Metric instruments of a proxy and their export in Prometheus text format."""

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

from damaskdyke.core.kernel import Component, Kernel, components

METER_NAME = "damaskdyke"


@components.register("metrics")
class Metrics(Component):
    """Counters and gauges of one process, registered with OpenTelemetry."""

    def __init__(self, kernel: Kernel):
        super().__init__(kernel)
        self._reader = PrometheusMetricReader()
        self._provider = MeterProvider(metric_readers=[self._reader])
        meter = self._provider.get_meter(METER_NAME)
        self._meter = meter
        self.requests = meter.create_counter(
            "damaskdyke.requests", description="Answers by service and kind"
        )
        self.attempts = meter.create_counter(
            "damaskdyke.attempts", description="Upstream attempts by outcome"
        )
        self.ejections = meter.create_counter(
            "damaskdyke.ejections", description="Upstreams taken out of rotation"
        )
        self.platform_reads = meter.create_counter(
            "damaskdyke.platform.reads", description="Calls to the platform"
        )
        self.bad_branches = meter.create_counter(
            "damaskdyke.settings.bad_branches", description="Branches refused"
        )

    def observe(self, name: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value ``read`` returns whenever metrics are collected."""

        def collect(_: CallbackOptions) -> Iterable[Observation]:
            return [Observation(read())]

        self._meter.create_observable_gauge(name, callbacks=[collect])

    def export(self) -> bytes:
        """Return every metric in the Prometheus text format."""
        return generate_latest(REGISTRY)

    def stop(self) -> None:
        """Shut down the meter provider and its Prometheus reader."""
        self._provider.shutdown()
