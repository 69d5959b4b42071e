"""Metrics of one instance, exported in the Prometheus text format.

Hot paths count in plain fields; gauges read these only when the metrics are
collected.
"""

import asyncio
from collections import abc as collections_abc
import functools

from aiohttp import web

from balsamdale import connection_gate
from balsamdale import http_server

__all__ = ['Metrics', 'ReadGauge', 'RecentText', 'RecordValue', 'serve']

# Values of histograms that are kept until the first collection loads the
# libraries; one more loads them.
MAX_KEPT_VALUES = 10_000
# Shortest time between two collections, whatever clients ask for.
MIN_COLLECTION_INTERVAL_S = 0.5

ReadGauge = collections_abc.Callable[[], float]
RecordValue = collections_abc.Callable[[float, dict[str, str]], None]


class Metrics:
    """Gauges and histograms of one instance.

    Loading OpenTelemetry takes a fifth of an instance's start. It is loaded
    when metrics are first collected.
    """

    def __init__(self):
        self._exporter: _Exporter | None = None
        self._gauges: list[tuple[str, str, ReadGauge]] = []
        self._histograms: list[tuple[str, str, tuple[float, ...]]] = []
        # Position of the histogram, value and labels of each.
        self._values: list[tuple[int, float, dict[str, str]]] = []

    def add_gauge(self, name: str, description: str, read: ReadGauge) -> None:
        """Export a value that is read when metrics are collected."""
        self._gauges.append((name, description, read))
        if self._exporter is not None:
            self._exporter.add_gauge(name, description, read)

    def add_histogram(
        self, name: str, description: str, bounds: tuple[float, ...]
    ) -> RecordValue:
        """Export a histogram; return the function that records a value.

        Args:
            name: name of the metric, with its unit.
            description: what it measures.
            bounds: upper bounds of the buckets, in the unit of the metric.
        """
        position = len(self._histograms)
        self._histograms.append((name, description, bounds))
        if self._exporter is not None:
            self._exporter.add_histogram(name, description, bounds)
        return functools.partial(self._record, position)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._load().text()

    def _record(self, position, value, labels):
        if self._exporter is None and len(self._values) < MAX_KEPT_VALUES:
            self._values.append((position, value, labels))
            return
        self._load().record(position, value, labels)

    def _load(self):
        if self._exporter is None:
            self._exporter = _Exporter()
            for gauge in self._gauges:
                self._exporter.add_gauge(*gauge)
            for histogram in self._histograms:
                self._exporter.add_histogram(*histogram)
            for recorded in self._values:
                self._exporter.record(*recorded)
            self._values.clear()
        return self._exporter


class _Exporter:
    """The metrics in OpenTelemetry."""

    def __init__(self):
        from opentelemetry.exporter import prometheus
        from opentelemetry import metrics
        from opentelemetry.sdk import metrics as sdk_metrics
        import prometheus_client

        self._registry = prometheus_client.CollectorRegistry()
        self._generate = prometheus_client.generate_latest
        self._observation = metrics.Observation
        reader = prometheus.PrometheusMetricReader(registry=self._registry)
        provider = sdk_metrics.MeterProvider(metric_readers=[reader])
        self._meter = provider.get_meter('balsamdale')
        self._histograms = []

    def add_gauge(self, name, description, read):
        self._meter.create_observable_gauge(
            name,
            callbacks=[lambda _options: [self._observation(read())]],
            description=description,
        )

    def add_histogram(self, name, description, bounds):
        histogram = self._meter.create_histogram(
            name,
            description=description,
            explicit_bucket_boundaries_advisory=bounds,
        )
        self._histograms.append(histogram)

    def record(self, position, value, labels):
        self._histograms[position].record(value, labels)

    def text(self):
        return self._generate(self._registry)


class RecentText:
    """The text of metrics, collected anew only after an interval.

    Args:
        collect: returns the text of all metrics; takes milliseconds.
    """

    def __init__(self, collect: collections_abc.Callable[[], bytes]):
        self._collect = collect
        self._text = b''
        self._collected_at_s = float('-inf')

    def at(self, now_s: float) -> bytes:
        """Return the text, not older than `MIN_COLLECTION_INTERVAL_S`."""
        if now_s - self._collected_at_s >= MIN_COLLECTION_INTERVAL_S:
            self._text = self._collect()
            self._collected_at_s = now_s
        return self._text


async def serve(
    exported: Metrics, address: str, gate: connection_gate.ConnectionGate
) -> http_server.HttpServer:
    """Serve metrics over HTTP on `address` ("IP:port"), on any path."""
    recent = RecentText(exported.text)

    async def respond(_request):
        now_s = asyncio.get_running_loop().time()
        return web.Response(body=recent.at(now_s), content_type='text/plain')

    return await http_server.serve(respond, address, gate)
