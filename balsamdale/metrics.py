"""Metrics of one instance, exported in the Prometheus text format.

Hot paths count in plain fields; gauges read these only when the metrics are
collected.
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
    """Gauges and histograms of one instance."""

    def __init__(self):
        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(registry=self._registry)
        provider = sdk_metrics.MeterProvider(metric_readers=[reader])
        self._meter = provider.get_meter('balsamdale')

    def add_gauge(self, name: str, description: str, read: ReadGauge) -> None:
        """Export a value that is read when metrics are collected."""
        self._meter.create_observable_gauge(
            name,
            callbacks=[functools.partial(_observe_gauge, read)],
            description=description,
        )

    def add_histogram(
        self, name: str, description: str, bounds: tuple[float, ...]
    ) -> RecordValue:
        """Export a histogram; return the function that records a value.

        Args:
            name: name of the metric, with its unit.
            description: what it measures.
            bounds: upper bounds of the buckets, in the unit of the metric.
        """
        histogram = self._meter.create_histogram(
            name,
            description=description,
            explicit_bucket_boundaries_advisory=bounds,
        )
        return histogram.record

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)


def _observe_gauge(read, _options):
    return [metrics.Observation(read())]


async def serve(exported: Metrics, address: str) -> web.ServerRunner:
    """Serve metrics over HTTP on `address` ("IP:port"), on any path."""

    async def respond(_request):
        return web.Response(body=exported.text(), content_type='text/plain')

    return await sockets.serve_http(respond, address)
