"""Access to the metrics of one instance, in Prometheus form.

Hot paths count in plain fields; the instruments read them when asked.
"""

from collections import abc as collections_abc
import functools

from aiohttp import web
from opentelemetry.exporter import prometheus
from opentelemetry import metrics
from opentelemetry.sdk import metrics as sdk_metrics
import prometheus_client

from balsamdale import sockets

__all__ = ['Metrics', 'ReadGauge', 'RecordValue', 'serve']

ReadGauge = collections_abc.Callable[[], float]
RecordValue = collections_abc.Callable[[float, dict[str, str]], None]


class Metrics:
    """Observable instruments over plain fields."""

    def __init__(self):
        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(registry=self._registry)
        provider = sdk_metrics.MeterProvider(metric_readers=[reader])
        self._meter = provider.get_meter('balsamdale')

    def add_gauge(self, name: str, description: str, read: ReadGauge) -> None:
        """Export a value that is read when metrics are collected."""
        self._meter.create_observable_gauge(
            name,
            callbacks=[functools.partial(_observe, read)],
            description=description,
        )

    def add_histogram(
        self, name: str, description: str, bounds: tuple[float, ...]
    ) -> RecordValue:
        """Export the distribution of values that are recorded.

        Args:
            name: name of the metric, with its unit.
            description: what it measures.
            bounds: upper bounds of the buckets.
        """
        made = self._meter.create_histogram(
            name,
            description=description,
            explicit_bucket_boundaries_advisory=bounds,
        )
        return made.record

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text form."""
        return prometheus_client.generate_latest(self._registry)


def _observe(read, _options):
    return [metrics.Observation(read())]


async def serve(held: Metrics, address: str) -> web.ServerRunner:
    """Serve metrics as text on an IP number and port, on any path."""

    async def answer(_request):
        return web.Response(body=held.text(), content_type='text/plain')

    return await sockets.serve_http(answer, address)
