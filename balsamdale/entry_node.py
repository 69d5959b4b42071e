"""Access to an entry: an instance that serves callers."""

import asyncio

from balsamdale import adapter
from balsamdale import balance
from balsamdale import decisions
from balsamdale import discovery
from balsamdale import errors
from balsamdale import exchange
from balsamdale import listener
from balsamdale import members
from balsamdale import metrics
from balsamdale import node
from balsamdale import node_settings
from balsamdale import quarantine
from balsamdale import quorum
from balsamdale import registry
from balsamdale import request_state
from balsamdale import routes
from balsamdale import serving

__all__ = ['EntryNode']

# Seconds between checks for registrations that did not come back.
EXPIRE_INTERVAL_S = 0.25
# Seconds that callers with an old registry answer are still served: longer
# than an answer is kept.
LINGER_S = 3.0
# Part of the platform's grace kept for closing connections, in seconds.
GRACE_RESERVE_S = 1.0
# Seconds between looks at the requests in flight while leaving.
POLL_S = 0.05
# Crashes with the same request in flight after which it is stopped; two may
# be chance where servers crash for other reasons.
CRASH_LIMIT = 3
# Bounds of the latency histogram in seconds, around the objectives of today.
LATENCY_BOUNDS_S = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0)


class EntryNode(node.Node):
    """Serves callers."""

    def __init__(
        self,
        given: node_settings.NodeSettings,
        adapted: adapter.Adapter,
        clocks: node.Clocks,
    ):
        super().__init__(given, adapted, clocks)
        self.table: routes.RouteTable | None = None
        self.directory = discovery.Directory()
        self.balancer = balance.Balancer(given.failure_domain)
        self.quorum = quorum.Quorum(
            self.relay,
            self.folder_set.all,
            given.losses,
            given.failure_domain,
        )
        self.exchange = exchange.Exchange(adapted.form)
        self.quarantine = quarantine.Quarantine(CRASH_LIMIT)
        self.links.serve(quarantine.ReportCrash, self._on_crash)
        self.serving = serving.Serving(
            request_state.Context(
                table=lambda: self.table,
                directory=self.directory,
                balancer=self.balancer,
                exchange=self.exchange,
                quorum=self.quorum,
                form=adapted.form,
                clock=clocks.steady,
                wall_clock=clocks.wall,
                quarantine=self.quarantine,
                report_crash=self._report_crash,
                record_latency=self.metrics.histogram(
                    'balsamdale_request_seconds',
                    'Time from a request to the end of its answer',
                    LATENCY_BOUNDS_S,
                ),
            )
        )
        self.listener = listener.Listener(
            self.serving, adapted.form, routes.Limits()
        )
        self._stop_questions = None
        self.mirror.listen(adapted.table_key, self._table_changed)
        self.mirror.listen(adapted.server_prefix, self._server_changed)

    def member(self) -> members.Member:
        return members.Member(
            instance_id=self.settings.instance_id,
            failure_domain=self.settings.failure_domain,
            link_address=self.settings.link_address,
            entry_address=self.settings.entry_address,
        )

    async def start(self) -> None:
        await self.listener.listen(self.settings.entry_address)
        self._stop_questions = await self.adapter.answer_questions(
            self.settings,
            adapter.Questions(self.is_ready, self._addresses),
        )
        self._background.spawn(self._run_expiry())
        await super().start()

    def gauges(self) -> dict[str, tuple[str, metrics.Gauge]]:
        return {
            **super().gauges(),
            'requests_in_flight': (
                'Requests of callers',
                lambda: self.serving.in_flight,
            ),
            'requests_sent': (
                'Requests sent to backend servers',
                lambda: self.exchange.sent,
            ),
            'configuration_version': (
                'Version in force',
                lambda: self.table.version if self.table is not None else 0,
            ),
            'servers': (
                'Backend servers that are known',
                lambda: len(list(self.directory)),
            ),
        }

    async def leave(self) -> None:
        self.listener.is_leaving = True
        await super().leave()
        loop = asyncio.get_running_loop()
        linger_end_s = loop.time() + LINGER_S
        end_s = loop.time() + self.settings.grace_s - GRACE_RESERVE_S
        while loop.time() < end_s:
            if loop.time() > linger_end_s and not self.serving.in_flight:
                return
            await asyncio.sleep(POLL_S)

    async def close(self) -> None:
        await self.listener.close()
        await self._stop_questions()
        await self.exchange.close()
        await super().close()

    def is_ready(self) -> bool:
        """Tell whether callers' requests can be served."""
        is_known = self.table is not None and bool(self.folder_set.names())
        return is_known and not self.roster.is_leaving

    def _report_crash(self, report):
        for name in self.roster.entry_peers():
            self._background.spawn(self._tell(name, report))

    async def _tell(self, name, message):
        try:
            await self.links.request(name, message)
        except errors.LinkError as error:
            decisions.record('report_lost', peer=name, reason=str(error))

    async def _on_crash(self, _sender, message):
        self.quarantine.report(message.digest, message.crash_id)
        yield members.Heard()

    def _addresses(self, failure_domain):
        return registry.addresses(self.roster.entries(), failure_domain)

    def _table_changed(self, key, value):
        if key != self.adapter.table_key or value is None:
            return
        try:
            table = self.adapter.table(value)
        except errors.CheckFailed as error:
            decisions.record('configuration_unreadable', reason=str(error))
            return
        before = self.table.version if self.table is not None else 0
        if table.version <= before:
            return
        self.table = table
        decisions.record(
            'configuration_in_force',
            version=table.version,
            before=before,
            routes=len(table.routes),
        )

    def _server_changed(self, key, value):
        server_id = key.removeprefix(self.adapter.server_prefix)
        now_s = self.clocks.steady()
        if value is None:
            # Leases also lapse while the service is away.
            follower = self.follower
            in_doubt = follower.is_returning or not follower.is_connected
            self.directory.remove(server_id, now_s, in_doubt)
            return
        try:
            server = self.adapter.server(server_id, value)
        except errors.CheckFailed as error:
            decisions.record(
                'server_unreadable', server=server_id, reason=str(error)
            )
            self.directory.remove(server_id, now_s, False)
            return
        self.directory.put(server)

    async def _run_expiry(self):
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            self.directory.expire(self.clocks.steady())
            self.balancer.forget({s.server_id for s in self.directory})
