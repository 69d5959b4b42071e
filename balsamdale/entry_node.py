"""The entry role: an instance that serves callers of routed services."""

import asyncio
import functools
import random

from balsamdale import adapter
from balsamdale import codec
from balsamdale import crash_reports
from balsamdale import decisions
from balsamdale import discovery
from balsamdale import drain
from balsamdale import errors
from balsamdale import exchange
from balsamdale import http_connection
from balsamdale import leaving_reports
from balsamdale import limit_client
from balsamdale import limit_service
from balsamdale import listener
from balsamdale import members
from balsamdale import metrics
from balsamdale import node
from balsamdale import node_settings
from balsamdale import pauses
from balsamdale import planned_stop
from balsamdale import quarantine
from balsamdale import quorum
from balsamdale import quota
from balsamdale import quota_service
from balsamdale import registry
from balsamdale import request_state
from balsamdale import routes
from balsamdale.scheduling import balance
from balsamdale import server_paths
from balsamdale import serving
from balsamdale import shutdown

__all__ = ['EntryNode']

EXPIRY_CHECK_INTERVAL_S = 0.25
# Crashes with the same request in flight after which it is quarantined; two
# can be a coincidence if servers crash for other reasons.
QUARANTINE_CRASH_LIMIT = 3
# Histogram buckets, around the latency objectives.
LATENCY_BOUNDS_S = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0)


class EntryNode(node.Node):
    """Serves callers.

    Args:
        settings: the settings of this instance.
        platform_adapter: names, formats and calls of the platform.
        clocks: sources of the present time.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        platform_adapter: adapter.Adapter,
        clocks: node.Clocks,
    ):
        super().__init__(settings, platform_adapter, clocks)
        self.pauses = pauses.PauseDetector()
        self.table: routes.RouteTable | None = None
        self.directory = discovery.Directory()
        self.balancer = balance.Balancer(
            settings.failure_domain,
            record_event=decisions.record,
            compares_finish=platform_adapter.has_scarce_servers(settings),
        )
        self.quorum = quorum.Quorum(
            self.relay,
            self.replica_set.folders,
            settings.losses,
            settings.failure_domain,
        )
        self.http_client = exchange.HttpClient(platform_adapter.wire_format)
        self.server_paths = server_paths.ServerPaths(
            self.http_client,
            self.links,
            self.member_directory.entry_peers,
            platform_adapter.wire_format,
            self.directory.ready,
            random.Random(settings.instance_id),
            self._paused_s,
        )
        self.quarantine = quarantine.Quarantine(QUARANTINE_CRASH_LIMIT)
        self.crash_reports = crash_reports.CrashReports(
            self.links,
            self.member_directory.entry_peers,
            self.quarantine,
            clocks.monotonic,
            random.Random(settings.instance_id),
        )
        self.quota_client = quota.QuotaClient(
            self.relay,
            self._limiter_names,
            lambda: len(self.member_directory.entries()),
            clocks.monotonic,
            # Message numbers stay above those from before a restart.
            int(clocks.wall() * 1000),
            self.metrics.add_histogram(
                'balsamdale_quota_retry_after_seconds',
                'Retry-After of requests above the quota of their workspace',
                quota.RETRY_BOUNDS_S,
            ),
        )
        self.quota_service = quota_service.QuotaService(
            self.links,
            self._limiter_names,
            clocks.monotonic,
            settings.quota_bounds,
            is_standby=True,
        )
        self.leaving_reports = leaving_reports.LeavingReports(
            self.links,
            self.member_directory.entry_peers,
            self.directory,
            clocks.monotonic,
            random.Random(settings.instance_id),
        )
        self.limit_client = limit_client.LimitClient(
            self.links,
            self.relay,
            self._limiter_names,
            lambda: len(self.member_directory.entries()),
            clocks.monotonic,
        )
        self.limit_service = limit_service.LimitService(
            self.links,
            self._limiter_names,
            lambda: [m.instance_id for m in self.member_directory.entries()],
            clocks.monotonic,
        )
        self.handler = serving.RequestHandler(
            request_state.Context(
                table=lambda: self.table,
                directory=self.directory,
                balancer=self.balancer,
                http_client=self.http_client,
                quorum=self.quorum,
                wire_format=platform_adapter.wire_format,
                clock=clocks.monotonic,
                wall_clock=clocks.wall,
                account_retention_s=settings.account_retention_s,
                quarantine=self.quarantine,
                crash_reports=self.crash_reports,
                report_leaving=self.leaving_reports.news.tell,
                record_latency=self.metrics.add_histogram(
                    'balsamdale_request_seconds',
                    'Time from a request to the end of its answer',
                    LATENCY_BOUNDS_S,
                ),
                quota=self.quota_client,
                limits=self.limit_client,
                paths=self.server_paths,
                paused_s=self._paused_s,
            )
        )
        self.listener = listener.Listener(
            self.handler,
            platform_adapter.wire_format,
            budget=self.budget,
            gate=self.gate,
        )
        self._stop_platform_endpoints = None
        self.mirror.add_listener(
            platform_adapter.route_table_key, self._table_changed
        )
        self.mirror.add_listener(
            members.registration_key(settings.instance_id),
            self._registration_changed,
        )
        self.mirror.add_listener(
            platform_adapter.server_prefix, self._server_changed
        )

    def member(self) -> members.Member:
        return members.Member(
            instance_id=self.settings.instance_id,
            failure_domain=self.settings.failure_domain,
            link_address=self.settings.link_address,
            entry_address=self.settings.entry_address,
        )

    async def start(self) -> None:
        await self.listener.listen(self.settings.entry_address)
        self._stop_platform_endpoints = await self.adapter.serve_entry_status(
            self.settings,
            adapter.EntryStatus(self.is_ready, self._addresses),
            self.gate,
        )
        self._background.spawn_loop(self._run_expiry)
        self._background.spawn_loop(self.quota_service.run)
        self._background.spawn_loop(self.crash_reports.run)
        self._background.spawn_loop(self.leaving_reports.news.learn)
        await super().start()

    def gauges(self) -> dict[str, tuple[str, metrics.ReadGauge]]:
        return {
            **super().gauges(),
            **self.quota_client.gauges(),
            **self.quota_service.gauges(),
            **self.limit_client.gauges(),
            **self.limit_service.gauges(),
            **self.server_paths.gauges(),
            **self.crash_reports.gauges(),
            **self.leaving_reports.gauges(),
            **self._response_gauges(),
            'requests_in_flight': (
                'Requests of callers',
                lambda: self.handler.in_flight,
            ),
            'requests_sent': (
                'Requests sent to backend servers',
                lambda: self.http_client.requests_sent,
            ),
            'configuration_version': (
                'Version in force',
                lambda: self.table.version if self.table is not None else 0,
            ),
            'load_reports_ignored': (
                'Load reports that were malformed or out of range',
                lambda: self.balancer.reports_ignored,
            ),
            'servers_ejected': (
                'Servers ejected for their failures',
                self.balancer.outliers.count_ejected,
            ),
            'retries_withheld': (
                'Retries that the retry budget did not allow',
                lambda: self.handler.attempts.retry_budget.withheld,
            ),
            'held_bytes': (
                'Bodies, prompts, responses and output of requests',
                lambda: self.listener.budget.held_bytes,
            ),
            'refused_at_stop': (
                'Requests that could not be ended before a planned stop',
                lambda: self.listener.refused_at_stop,
            ),
            'bodies_refused': (
                'Bodies refused for lack of memory',
                lambda: self.listener.budget.refused_bodies,
            ),
            'callers_disconnected': (
                'Callers disconnected as they send or read too slowly',
                lambda: self.listener.budget.disconnected_callers,
            ),
            'servers': (
                'Backend servers that are known',
                lambda: len(list(self.directory)),
            ),
        }

    def _response_gauges(self):
        """Return the gauges of responses by framing and end."""
        return {
            f'responses_{framing}_{connection}': (
                f'Responses that end by their {framing}: connection '
                f'{connection} at the end',
                functools.partial(
                    self.http_client.response_counts.__getitem__,
                    (framing, connection),
                ),
            )
            for framing in http_connection.FRAMINGS
            for connection in http_connection.CONNECTION_STATES
        }

    async def leave(self) -> None:
        stop = planned_stop.PlannedStop(_loop_time_s(), self.settings.grace_s)
        self.listener.begin_stop(stop)
        self.server_paths.leave()
        # A store that does not reply must not use up the grace period.
        self._background.spawn(super().leave())
        try:
            await asyncio.sleep(stop.stops_accepting_s - _loop_time_s())
            # Under load there would always be a request just accepted.
            await self.listener.stop_accepting()
            decisions.record(
                'accepting_stopped', open_requests=self.listener.count_open()
            )
            await drain.wait(
                stop,
                lambda: (
                    not self.server_paths.count_sending()
                    and self.listener.is_drained(stop)
                ),
            )
        finally:
            decisions.record(
                'drained',
                open_requests=self.listener.count_open(),
                sent_for_others=self.server_paths.count_sending(),
                refused_at_stop=self.listener.refused_at_stop,
            )
            self.handler.end_unanswered()

    def close_stages(self) -> tuple[dict[str, shutdown.Step], ...]:
        work, connections = super().close_stages()
        work |= {
            'quota_client': self.quota_client.close,
            'crash_reports': self.crash_reports.news.close,
            'leaving_reports': self.leaving_reports.news.close,
            'limit_client': self.limit_client.close,
            'limit_service': self.limit_service.close,
            'server_paths': self.server_paths.close,
        }
        connections['servers'] = self.http_client.close
        if self._stop_platform_endpoints is not None:
            connections['platform'] = self._stop_platform_endpoints
        return {'listener': self.listener.close}, work, connections

    def is_ready(self) -> bool:
        """Return whether callers' requests can be served."""
        is_configured = self.table is not None and bool(
            self.replica_set.names()
        )
        return is_configured and not self.member_directory.is_leaving

    def _paused_s(self):
        return self.pauses.recent_s(_loop_time_s())

    def _limiter_names(self):
        return quota_service.limiter_names(self.member_directory)

    def _addresses(self, failure_domain):
        entries = self.member_directory.entries()
        if self.member_directory.is_leaving:
            # Its own copy may still have its registration.
            own_id = self.settings.instance_id
            entries = tuple(e for e in entries if e.instance_id != own_id)
        return registry.addresses(entries, failure_domain)

    def _table_changed(self, key, value):
        if key != self.adapter.route_table_key or value is None:
            return
        try:
            table = self.adapter.decode_route_table(value)
        except errors.ValidationFailed as error:
            decisions.record('configuration_unreadable', reason=str(error))
            return
        previous_version = self.table.version if self.table is not None else 0
        if table.version <= previous_version:
            return
        self.table = table
        self.gate.limits.change(table.limits, _loop_time_s())
        decisions.record(
            'configuration_in_force',
            version=table.version,
            before=previous_version,
            routes=len(table.routes),
        )

    def _registration_changed(self, _key, value):
        """Learn what was missed while others took this instance for dead."""
        if value != codec.encode(self.member()):
            self._learn_again()

    def _learn_again(self):
        if not self.member_directory.is_leaving:
            self.crash_reports.news.learn_again()
            self.leaving_reports.news.learn_again()

    def _server_changed(self, key, value):
        server_id = key.removeprefix(self.adapter.server_prefix)
        now_s = self.clocks.monotonic()
        if value is None:
            # Leases also expire while the key-value service is unreachable.
            follower = self.follower
            is_tentative = follower.is_catching_up or not follower.is_connected
            self.directory.remove(server_id, now_s, is_tentative)
            return
        try:
            server = self.adapter.decode_server(server_id, value)
        except errors.ValidationFailed as error:
            decisions.record(
                'server_unreadable', server=server_id, reason=str(error)
            )
            self.directory.remove(server_id, now_s, False)
            return
        self.directory.put(server)

    async def _run_expiry(self):
        self.pauses.start(_loop_time_s())
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            if paused_s := self.pauses.tick(_loop_time_s()):
                decisions.record('paused', length_s=round(paused_s, 3))
                self._learn_again()
            self.directory.expire(self.clocks.monotonic())
            registered = {s.server_id for s in self.directory}
            self.balancer.remove_departed(registered)
            self.limit_client.remove_departed(registered)


def _loop_time_s():
    return asyncio.get_running_loop().time()
