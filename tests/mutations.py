"""Deliberately broken builds; each must turn the proofs it names red.

A mutation is a function that patches the real code. `MUTATIONS` maps its
name to it; `apply` is also called by daemons that the proofs start.
"""

import asyncio
import contextlib
import dataclasses

from balsamdale import answer
from balsamdale import archive
from balsamdale import archive_service
from balsamdale import background
from balsamdale import codec
from balsamdale import configuration
from balsamdale import errors
from balsamdale import history
from balsamdale import instance
from balsamdale import journal
from balsamdale import membership
from balsamdale import owner
from balsamdale import ownership
from balsamdale import program
from balsamdale import quarantine
from balsamdale import quorum
from balsamdale import records
from balsamdale import server_choice
from balsamdale import shard

MUTATIONS = {}


def mutation(function):
    """Register a mutation under its name."""
    MUTATIONS[function.__name__] = function
    return function


def apply(name: str) -> None:
    """Break the build in one way."""
    MUTATIONS[name]()


@mutation
def fencing_off():
    """Journals accept every epoch."""

    def fence(self, number, epoch):
        self._held[number] = max(epoch, self._held.get(number, 0))

    journal.Journal._fence = fence


@mutation
def seal_of_one():
    """A takeover trusts a single journal."""
    shard.seal_quorum = lambda folders: 1


@mutation
def ack_of_one():
    """One synced copy counts as durable."""
    shard.write_quorum = lambda folders: 1
    shard.seal_quorum = lambda folders: 2


@mutation
def longest_log_first():
    """A takeover prefers length over the last record's epoch."""
    shard.latest_log = lambda sealed: max(
        sealed, key=lambda key: (sealed[key].length, sealed[key].last_epoch)
    )


@mutation
def no_epoch_start():
    """A takeover opens before its own epoch is in the journals."""

    def bring(self):
        self._start_catch_up()
        self.begin_serve()
        return [shard.Opened(), *self._send_appends()]

    def commit(self):
        length = self._durable_length(self.placement.folders)
        if length <= self.committed_length:
            return []
        self.committed_length = length
        return [shard.Committed(length)]

    shard.Shard._catch_up_replicas = bring
    shard.Shard._commit = commit


@mutation
def replaced_before_caught_up():
    """A new copy counts before it holds what the old one held."""

    def swap(self):
        if (
            self._pending_placement is None
            or self._swap_sent
            or not self.can_serve
        ):
            return []
        self._swap_sent = True
        return [shard.SwapKey(self._pending_placement, self._revision)]

    shard.Shard._swap_when_caught_up = swap


@mutation
def one_set_while_unknown():
    """Only the old set must hold a record while a swap is under way."""

    def commit(self):
        length = self._durable_length(self.placement.folders)
        if length <= self.committed_length or not self.log:
            return []
        if self.log[length - 1].epoch != self.epoch:
            return []
        self.committed_length = length
        effects = [shard.Committed(length)]
        if self.state == 'bringing':
            self.begin_serve()
            effects.append(shard.Opened())
        return effects

    shard.Shard._commit = commit


@mutation
def wiped_disk_counted():
    """A disk that comes back empty passes for the one it was."""
    from tests.proofs import shard_world

    build = shard_world.ShardSimulation.__init__

    def broken(self, seed, keep_identity=False):
        build(self, seed, keep_identity=True)

    shard_world.ShardSimulation.__init__ = broken


@mutation
def newest_turn_first():
    """A program runs its newest call first."""

    def find_open_turn(held):
        for turn in reversed(held.turns):
            if turn.answer is None:
                return turn
        return None

    program.find_open_turn = find_open_turn


@mutation
def histories_mixed():
    """A takeover files records under the wrong program."""
    opened = owner.Owner.restore_shard

    def broken(self, held):
        opened(self, held)
        numbers = {e.program_id for e in held.log if e.program_id}
        names = sorted(n for n in numbers if self.programs[n].turns)
        for first, other in zip(names[:1], names[1:2]):
            one, two = self.programs[first], self.programs[other]
            replace = dataclasses.replace
            self.programs[first] = replace(one, turns=two.turns)
            self.programs[other] = replace(two, turns=one.turns)

    owner.Owner.restore_shard = broken


@mutation
def answer_not_cut():
    """A model call may answer beyond what the budget leaves."""
    real = program._engine_action

    def broken(held, turn, declared):
        action = real(held, turn, declared)
        if isinstance(action, program.Finish):
            contract = declared.contract(held.created.contract)
            return program.CallEngine(
                contract.service,
                tuple(program._conversation(held)),
                (),
                False,
                0,
                declared.limits.answer_tokens,
            )
        return action

    program._engine_action = broken


@mutation
def unknown_uncharged():
    """A request whose outcome is unknown costs nothing."""
    real = program.finish_interrupted_step

    def broken(held, now_s):
        closing = real(held, now_s)
        if closing is None:
            return None
        fields = {**closing.__dict__, 'charged_tokens': 0}
        return records.StepFinished(**fields)

    program.finish_interrupted_step = broken


@mutation
def release_dropped():
    """An ended program's cache is left to the engine."""
    owner.Owner._ensure_release = lambda self, program_id: None


@mutation
def release_unconfirmed():
    """A release is sent once and taken as done."""

    async def broken(self, held, name):
        server = self._context.get_declaration().server(name)
        with contextlib.suppress(errors.BackendFailed):
            await self._context.backends.release(server, held.id)
        await self._commit_record(records.CacheReleased(held.id, name))

    owner.Owner._release_cache = broken


@mutation
def steps_confused():
    """Offsets of one step count for the text of another."""
    real = answer.AnswerStream.read

    async def broken(self, offset=0, step=-1):
        async for event in real(self, offset, self._step):
            yield event

    answer.AnswerStream.read = broken


@mutation
def answers_crossed():
    """A call gets the answer of another turn."""
    real = owner.Owner._join_request

    def broken(self, program_id, request_id):
        held = self.programs[program_id]
        if len(held.turns) > 1:
            request_id = held.turns[0].accepted.request_id
        return real(self, program_id, request_id)

    owner.Owner._join_request = broken


@mutation
def always_not_run():
    """Every refusal claims that nothing ran."""
    program.run_status = lambda turn: 'no'
    real = errors.Refused.__init__

    def broken(self, code, status, detail, ran='no', retry_after_s=None):
        real(self, code, status, detail, 'no', retry_after_s)

    errors.Refused.__init__ = broken
    build = records.AnswerReady.__init__

    def ready(self, *args, **kwargs):
        if kwargs.get('outcome') != 'ok' and 'ran' in kwargs:
            kwargs['ran'] = 'no'
        build(self, *args, **kwargs)

    records.AnswerReady.__init__ = ready


@mutation
def confirm_off():
    """An owner answers from its state without confirming its epoch."""

    async def broken(self, number):
        return

    ownership.Ownership.confirm = broken


@mutation
def refused_while_pending():
    """A call is refused as not run though it may become durable."""
    real = owner._journal_unavailable
    owner._journal_unavailable = lambda ran: real('no')
    confirm_off()


@mutation
def intent_not_durable():
    """A request leaves before the record of its start is durable."""

    async def broken(self, record):
        if isinstance(record, records.StepStarted):
            held = self.programs[record.program_id]
            self.programs[record.program_id] = program.apply(record, held)
            body = (codec.encode(record),)
            number = ownership.placement.shard_of(record.program_id)
            late = self.ownership.append(number, record.program_id, body)
            task = asyncio.create_task(late)
            task.add_done_callback(background.retrieve_exception)
            return
        await self._commit(record.program_id, lambda _: [record])

    owner.Owner._commit_record = broken


@mutation
def unknown_retried():
    """A non-idempotent step with an unknown outcome is sent again."""
    real = program.build_step_started

    def broken(held, turn, action, server, now_s):
        started = real(held, turn, action, server, now_s)
        return records.StepStarted(**{**started.__dict__, 'idempotent': True})

    program.build_step_started = broken


@mutation
def dedupe_off():
    """A repeated request id runs as a new call."""
    program.Program.find_turn = lambda self, request_id: next(
        (
            turn
            for turn in reversed(self.turns)
            if turn.accepted.request_id == request_id and turn.answer is None
        ),
        None,
    )
    real = owner.Owner._join_request

    def join(self, program_id, request_id):
        held = self.programs[program_id]
        if held.find_turn(request_id) is None:
            return len(held.turns) - 1, self._answer_stream(
                held, len(held.turns) - 1
            )
        return real(self, program_id, request_id)

    owner.Owner._join_request = join
    owner.Owner._decide_end = lambda self, reason, held: []


@mutation
def quarantine_off():
    """A request that crashes servers is tried for ever."""
    quarantine.Quarantine.is_quarantined = lambda self, digest: False


@mutation
def suspects_together():
    """Requests from one crash may share a server again."""
    from balsamdale import dispatch

    dispatch.Dispatcher._has_suspect_running = lambda self: False


@mutation
def leaving_ignored():
    """A leaving backend server still gets new work."""
    real = server_choice.candidates

    def broken(servers, home, excluded, generator):
        active = [
            type(s)(**{**s.__dict__, 'state': 'active'}) for s in servers
        ]
        return real(active, home, excluded, generator)

    server_choice.candidates = broken


@mutation
def no_drain():
    """A planned stop does not wait for what is in flight."""

    async def broken(self):
        return

    instance.Instance._drain = broken


@mutation
def no_handover():
    """A planned stop leaves its shards to be found dead."""

    async def broken(self):
        return

    ownership.Ownership.hand_over = broken
    instance.Instance._ask_take_over = lambda self, number: broken(self)


@mutation
def revision_goes_back():
    """Any revision that arrives comes into force."""

    def broken(self, revision, text):
        self._declared = configuration.declaration.parse(text)
        self.revision = revision
        self._text = text
        self._ready.set()
        self._applied(revision)
        return True

    configuration.Relay.apply = broken


@mutation
def no_read_back():
    """A write whose answer was lost counts as failed."""

    async def broken(store, head, base_revision):
        value = codec.encode(head)
        revision = await store.compare_and_swap(
            configuration.HEAD_KEY, value, base_revision
        )
        if revision:
            return configuration.Accepted(revision, head)
        return configuration.Conflict(revision, None)

    configuration._swap_head = broken


@mutation
def no_pull():
    """An instance that is behind does not ask its peers."""
    configuration.Relay.pull_if_behind = lambda self, peer_id, revision: None


@mutation
def blind_write():
    """A change is written over whatever is there."""

    async def broken(store, head, base_revision):
        pair = await store.get(configuration.HEAD_KEY)
        revision = await store.compare_and_swap(
            configuration.HEAD_KEY,
            codec.encode(head),
            pair.revision if pair else 0,
        )
        return configuration.Accepted(revision, head)

    real = configuration.fetch_head

    configuration._swap_head = broken
    configuration.accept.__globals__['fetch_head'] = real


@mutation
def no_takeover():
    """Nobody takes over the shards of a dead instance."""
    instance.Instance._changed = lambda self, instance_id, status: None
    real = ownership.Ownership.find_owner

    async def broken(self, number):
        return self.known_owner(number) or await real(self, number)

    ownership.Ownership.find_owner = broken


@mutation
def verdict_without_probe():
    """One silent peer is enough to call an instance dead."""
    membership.Membership._probe = lambda self, peer_id: []
    membership.SUSPICION_TIMEOUT_S = 0.0


@mutation
def archive_ack_of_one():
    """One archive's acknowledgement makes a turn durable."""
    quorum.Quorum.write_quorum = 1


@mutation
def wiped_archive_is_whole():
    """A wiped archive's silence about a turn counts at once."""

    async def catch_up(self):
        self.archive.set_in_sync()

    archive_service.ArchiveService.catch_up = catch_up


@mutation
def wiped_archive_admits():
    """Reservations count although archives do not know the account."""
    quorum._in_sync_replies = lambda fan_out: list(fan_out.replies.values())
    quorum._is_reserved = lambda write_quorum, read_quorum, replies: (
        len(replies) >= write_quorum
    )


@mutation
def one_archive_is_sure():
    """A single archive may say that there is no such turn."""
    quorum.Quorum._read_quorum = lambda self, count: 1


@mutation
def catch_up_from_one():
    """A wiped archive relies on what a single other one holds."""
    init = archive_service.ArchiveService.__init__

    def bold_init(self, held, links, senders, members, losses, clock):
        init(self, held, links, senders, members, len(members()) - 1, clock)

    archive_service.ArchiveService.__init__ = bold_init


@mutation
def reservations_not_counted():
    """Only turns that have ended count."""

    def spent_tokens(merged, without):
        return sum(
            entry.tokens
            for name, entry in merged.items()
            if name != without and entry.is_settled
        )

    history.spent_tokens = spent_tokens


@mutation
def reservation_of_one():
    """A single archive admits a turn."""
    quorum._is_reserved = lambda write_quorum, read_quorum, replies: bool(
        replies
    )


@mutation
def settlement_ignored():
    """A turn counts at its most although it has ended."""

    def enter(self, entry):
        account = self._accounts.setdefault(entry.program_id, {})
        is_new = entry.turn_id not in account
        if is_new:
            account[entry.turn_id] = entry
        return is_new

    archive.Archive._add_entry = enter
