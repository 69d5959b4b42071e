"""Access to the metrics of one instance, in Prometheus form.

Hot paths count in plain fields; the instruments read them when asked.
"""

from collections import abc as collections_abc
import functools

from opentelemetry.exporter import prometheus
from opentelemetry import metrics
from opentelemetry.sdk import metrics as sdk_metrics
import prometheus_client

__all__ = ['Gauge', 'Metrics']

Gauge = collections_abc.Callable[[], float]


class Metrics:
    """Observable instruments over plain fields."""

    def __init__(self):
        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(registry=self._registry)
        provider = sdk_metrics.MeterProvider(metric_readers=[reader])
        self._meter = provider.get_meter('balsamdale')

    def observe(self, name: str, description: str, read: Gauge) -> None:
        """Export a value that is read when metrics are collected."""
        self._meter.create_observable_gauge(
            name,
            callbacks=[functools.partial(_observe, read)],
            description=description,
        )

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text form."""
        return prometheus_client.generate_latest(self._registry)


def _observe(read, _options):
    return [metrics.Observation(read())]
