"""Deliberately broken builds; each must fail the proofs that name it.

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
from balsamdale import copies
from balsamdale import crash_reports
from balsamdale import disk_archive
from balsamdale import errors
from balsamdale import events
from balsamdale import history
from balsamdale import http_connection
from balsamdale import instance
from balsamdale import journal
from balsamdale import membership
from balsamdale import mirror
from balsamdale import owner
from balsamdale import ownership
from balsamdale import peer_news
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
    """Patch the code with the mutation of this name."""
    MUTATIONS[name]()


@mutation
def fencing_off():
    """Journals accept every epoch."""

    def accept_epoch(self, shard_number, epoch):
        self._promised_epochs[shard_number] = max(
            epoch, self._promised_epochs.get(shard_number, 0)
        )

    journal.Journal._fence = accept_epoch


@mutation
def seal_of_one():
    """A takeover trusts a single journal."""
    shard.seal_quorum = lambda replica_count: 1


@mutation
def ack_of_one():
    """A record in one journal counts as durable."""
    shard.write_quorum = lambda replica_count: 1
    shard.seal_quorum = lambda replica_count: 2


@mutation
def longest_log_first():
    """A takeover prefers length over the last record's epoch."""
    shard.latest_log = lambda sealed: max(
        sealed,
        key=lambda folder_id: (
            sealed[folder_id].length,
            sealed[folder_id].last_epoch,
        ),
    )


@mutation
def no_epoch_start():
    """A takeover opens before its own epoch is in the journals."""

    def catch_up_replicas(self):
        self._start_catch_up()
        self.begin_serve()
        return [shard.Opened(), *self._send_appends()]

    def commit(self):
        length = self._durable_length(self.placement.folders)
        if length <= self.committed_length:
            return []
        self.committed_length = length
        return [shard.Committed(length)]

    shard.Shard._catch_up_replicas = catch_up_replicas
    shard.Shard._commit = commit


@mutation
def replaced_before_caught_up():
    """A new replica counts before it holds the records of the old one."""

    def swap_without_catch_up(self):
        if (
            self._pending_placement is None
            or self._swap_sent
            or not self.can_serve
        ):
            return []
        self._swap_sent = True
        return [shard.SwapKey(self._pending_placement, self._revision)]

    shard.Shard._swap_when_caught_up = swap_without_catch_up


@mutation
def one_set_while_unknown():
    """Only the old replica set must hold a record while a swap is pending."""

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
    """A data folder that comes back empty keeps its old identity."""
    from tests.proofs import shard_world

    real = shard_world.ShardSimulation.__init__

    def init_with_kept_id(self, seed, wiped_disk_keeps_id=False):
        real(self, seed, wiped_disk_keeps_id=True)

    shard_world.ShardSimulation.__init__ = init_with_kept_id


@mutation
def newest_turn_first():
    """A program runs its newest call first."""

    def find_open_turn(program_state):
        for turn in reversed(program_state.turns):
            if turn.answer is None:
                return turn
        return None

    program.find_open_turn = find_open_turn


@mutation
def histories_mixed():
    """A takeover restores turns under the wrong program."""
    real = owner.Owner.restore_shard

    def restore_and_mix_histories(self, opened_shard):
        real(self, opened_shard)
        program_ids = {
            entry.program_id for entry in opened_shard.log if entry.program_id
        }
        ids_with_turns = sorted(
            program_id
            for program_id in program_ids
            if self.programs[program_id].turns
        )
        for first_id, second_id in zip(
            ids_with_turns[:1], ids_with_turns[1:2]
        ):
            first_program, second_program = (
                self.programs[first_id],
                self.programs[second_id],
            )
            replace = dataclasses.replace
            self.programs[first_id] = replace(
                first_program, turns=second_program.turns
            )
            self.programs[second_id] = replace(
                second_program, turns=first_program.turns
            )

    owner.Owner.restore_shard = restore_and_mix_histories


@mutation
def answer_not_cut():
    """A model call may generate more tokens than the budget leaves."""
    real = program._engine_action

    def ignore_budget(program_state, turn, current_declaration):
        action = real(program_state, turn, current_declaration)
        if isinstance(action, program.Finish):
            contract = current_declaration.contract(
                program_state.created.contract
            )
            return program.CallEngine(
                contract.service,
                tuple(program._conversation(program_state)),
                (),
                False,
                0,
                current_declaration.limits.answer_tokens,
            )
        return action

    program._engine_action = ignore_budget


@mutation
def unknown_uncharged():
    """A request whose outcome is unknown costs nothing."""
    real = program.finish_interrupted_step

    def finish_without_charge(program_state, now_s):
        step_finished = real(program_state, now_s)
        if step_finished is None:
            return None
        fields = {**step_finished.__dict__, 'charged_tokens': 0}
        return records.StepFinished(**fields)

    program.finish_interrupted_step = finish_without_charge


@mutation
def release_dropped():
    """No release is sent for the cache of an ended program."""
    owner.Owner._ensure_release = lambda self, program_id: None


@mutation
def release_unconfirmed():
    """A release is sent once and recorded even if it failed."""

    async def release_once(self, program_state, server_name):
        server = self._context.get_declaration().server(server_name)
        with contextlib.suppress(errors.BackendFailed):
            await self._context.backends.release(server, program_state.id)
        await self._commit_record(
            records.CacheReleased(program_state.id, server_name)
        )

    owner.Owner._release_cache = release_once


@mutation
def steps_confused():
    """An offset into one step's text is applied to another step's text."""
    real = answer.AnswerStream.read

    async def read_current_step(self, offset=0, step=-1):
        async for event in real(self, offset, self._step):
            yield event

    answer.AnswerStream.read = read_current_step


@mutation
def answers_crossed():
    """A call gets the answer of another turn."""
    real = owner.Owner._join_request

    def join_first_turn(self, program_id, request_id):
        program_state = self.programs[program_id]
        if len(program_state.turns) > 1:
            request_id = program_state.turns[0].accepted.request_id
        return real(self, program_id, request_id)

    owner.Owner._join_request = join_first_turn


@mutation
def always_not_run():
    """Every refusal claims that nothing ran."""
    program.run_status = lambda turn: 'no'
    real_refused_init = errors.Refused.__init__

    def refused_init(self, code, status, detail, ran='no', retry_after_s=None):
        real_refused_init(self, code, status, detail, 'no', retry_after_s)

    errors.Refused.__init__ = refused_init
    real_answer_init = records.AnswerReady.__init__

    def answer_init(self, *args, **kwargs):
        if kwargs.get('outcome') != 'ok' and 'ran' in kwargs:
            kwargs['ran'] = 'no'
        real_answer_init(self, *args, **kwargs)

    records.AnswerReady.__init__ = answer_init


@mutation
def confirm_off():
    """An owner replies from its state without confirming its epoch."""

    async def skip_confirm(self, number):
        return

    ownership.Ownership.confirm = skip_confirm


@mutation
def refused_while_pending():
    """A call is refused as not run though it may become durable."""
    real = owner._journal_unavailable
    owner._journal_unavailable = lambda ran: real('no')
    confirm_off()


@mutation
def intent_not_durable():
    """A request is sent before the record of its start is durable."""

    async def commit_later(self, record):
        if isinstance(record, records.StepStarted):
            program_state = self.programs[record.program_id]
            self.programs[record.program_id] = program.apply(
                record, program_state
            )
            body = (codec.encode(record),)
            shard_number = ownership.placement.shard_of(record.program_id)
            append = self.ownership.append(
                shard_number, record.program_id, body
            )
            task = asyncio.create_task(append)
            task.add_done_callback(background.retrieve_exception)
            return
        await self._commit(record.program_id, lambda _: [record])

    owner.Owner._commit_record = commit_later


@mutation
def unknown_retried():
    """A non-idempotent step with an unknown outcome is sent again."""
    real = program.build_step_started

    def build_idempotent_step(program_state, turn, action, server, now_s):
        started = real(program_state, turn, action, server, now_s)
        return records.StepStarted(**{**started.__dict__, 'idempotent': True})

    program.build_step_started = build_idempotent_step


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

    def join_without_lookup(self, program_id, request_id):
        program_state = self.programs[program_id]
        if program_state.find_turn(request_id) is None:
            return len(program_state.turns) - 1, self._answer_stream(
                program_state, len(program_state.turns) - 1
            )
        return real(self, program_id, request_id)

    owner.Owner._join_request = join_without_lookup
    owner.Owner._decide_end = lambda self, reason, program_state: []


@mutation
def quarantine_off():
    """A request that crashes servers is never quarantined."""
    quarantine.Quarantine.is_quarantined = lambda self, *request: False


@mutation
def suspects_never_cleared():
    """A suspected request that ran to its end stays suspected."""
    quarantine.Quarantine.refute = lambda self, digest: False
    crash_reports.Check.has_run = property(
        lambda self: False, lambda self, value: None
    )


@mutation
def crashes_never_learned():
    """An entry that starts does not ask what others know of crashes."""

    async def learn_nothing(self):
        return

    peer_news.PeerNews.learn = learn_nothing


@mutation
def crashes_told_once():
    """A report of a crash that was lost is not told again."""

    async def give_up(self, name):
        return

    peer_news.PeerNews._catch_up = give_up


@mutation
def suspects_together():
    """Requests from one crash may share a server again."""
    from balsamdale import dispatch

    dispatch.Dispatcher._has_suspect_running = lambda self: False


@mutation
def leaving_ignored():
    """A leaving backend server still gets new work."""
    real = server_choice.candidates

    def choose_without_states(servers, preferred_server, excluded, generator):
        active = [
            type(server)(**{**server.__dict__, 'state': 'active'})
            for server in servers
        ]
        return real(active, preferred_server, excluded, generator)

    server_choice.candidates = choose_without_states


@mutation
def no_drain():
    """A planned stop does not wait for requests in flight."""

    async def skip_drain(self):
        return

    instance.Instance._drain = skip_drain


@mutation
def no_handover():
    """A planned stop hands no shards over; peers must detect a failure."""

    async def skip_hand_over(self):
        return

    ownership.Ownership.hand_over = skip_hand_over
    instance.Instance._request_take_over = lambda self, number: skip_hand_over(
        self
    )


@mutation
def revision_goes_back():
    """Any revision that arrives takes effect, even an older one."""

    def apply_any_revision(self, revision, text):
        self._declaration = configuration.declaration.parse(text)
        self.revision = revision
        self._text = text
        self._ready.set()
        self._on_applied(revision)
        return True

    configuration.Relay.apply = apply_any_revision


@mutation
def older_write_wins():
    """A copy applies a change although it has a later write of the key."""

    def apply_any(self, change):
        self._pairs.pop(change.key, None)
        return apply_change(self, change)

    apply_change = mirror.Mirror._apply
    mirror.Mirror._apply = apply_any


@mutation
def log_kept_over_snapshots():
    """A snapshot leaves a copy's log as if nothing were missing in it."""

    def load_snapshot(self, pairs, revision, is_of_peer=False):
        log, start = list(self._log), self._log_start
        has_loaded = load(self, pairs, revision, is_of_peer)
        if has_loaded and start:
            self._log.extend(log)
            self._log_start = start
        return has_loaded

    load = mirror.Mirror.load_snapshot
    mirror.Mirror.load_snapshot = load_snapshot


@mutation
def no_read_back():
    """A write whose response was lost counts as failed."""

    async def swap_without_read_back(store, head, base_revision):
        value = codec.encode(head)
        revision = await store.compare_and_swap(
            configuration.HEAD_KEY, value, base_revision
        )
        if revision:
            return configuration.Accepted(revision, head)
        return configuration.Conflict(revision, None)

    configuration._compare_and_swap_head = swap_without_read_back


@mutation
def no_pull():
    """An instance that is behind does not ask its peers."""
    configuration.Relay.pull_if_behind = lambda self, peer_id, revision: None


@mutation
def blind_write():
    """A change is written over whatever is there."""

    async def overwrite(store, head, base_revision):
        pair = await store.get(configuration.HEAD_KEY)
        revision = await store.compare_and_swap(
            configuration.HEAD_KEY,
            codec.encode(head),
            pair.revision if pair else 0,
        )
        return configuration.Accepted(revision, head)

    real = configuration.fetch_head

    configuration._compare_and_swap_head = overwrite
    configuration.accept.__globals__['fetch_head'] = real


@mutation
def no_takeover():
    """Nobody takes over the shards of a dead instance."""
    instance.Instance._on_member_changed = lambda self, instance_id, status: (
        None
    )
    real = ownership.Ownership.find_owner

    async def find_known_owner_first(self, number):
        return self.known_owner(number) or await real(self, number)

    ownership.Ownership.find_owner = find_known_owner_first


@mutation
def verdict_without_probe():
    """Silence seen by one peer is enough to declare an instance dead."""
    membership.Membership._probe_indirectly = lambda self, peer_id: []
    membership.SUSPICION_TIMEOUT_S = 0.0


@mutation
def archive_ack_of_one():
    """One archive's acknowledgement makes a turn durable."""
    quorum.Quorum.write_quorum = 1


@mutation
def wiped_archive_is_whole():
    """A wiped archive counts as in sync before it has caught up."""

    async def catch_up(self):
        self.archive.set_in_sync()

    archive_service.ArchiveService.catch_up = catch_up


@mutation
def wiped_archive_admits():
    """Archives that may not know the account count towards admission."""
    quorum._in_sync_replies = lambda fan_out: list(fan_out.replies.values())
    quorum._is_reserved = lambda write_quorum, read_quorum, replies: (
        len(replies) >= write_quorum
    )


@mutation
def one_archive_is_sure():
    """One archive's reply proves that there is no such turn."""
    quorum.Quorum._read_quorum = lambda self, count: 1


@mutation
def catch_up_from_one():
    """A wiped archive catches up from a single other archive."""
    real_init = archive_service.ArchiveService.__init__

    def init_with_all_losses(
        self,
        local_archive,
        links,
        relay_links,
        replica_set_names,
        losses,
        wall_clock,
    ):
        real_init(
            self,
            local_archive,
            links,
            relay_links,
            replica_set_names,
            len(replica_set_names()) - 1,
            wall_clock,
        )

    archive_service.ArchiveService.__init__ = init_with_all_losses


@mutation
def reservations_not_counted():
    """Only settled turns count towards the budget."""

    def spent_tokens(merged, excluded_turn_id):
        return sum(
            charge.tokens
            for turn_id, charge in merged.items()
            if turn_id != excluded_turn_id and charge.is_settled
        )

    history.spent_tokens = spent_tokens


@mutation
def reservation_of_one():
    """One archive's acknowledgement is enough to admit a turn."""
    quorum._is_reserved = lambda write_quorum, read_quorum, replies: bool(
        replies
    )


@mutation
def settlement_ignored():
    """A turn counts with its reservation although it is settled."""

    def add_first_charge(self, charge):
        account = self._accounts.setdefault(charge.program_id, {})
        is_new = charge.turn_id not in account
        if is_new:
            account[charge.turn_id] = charge
        return is_new

    archive.Archive._add_charge = add_first_charge


@mutation
def loss_ends_bodies():
    """The loss of a connection is the end of a body without length."""
    http_connection.Connection._end = lambda self, state, cause=None: None


@mutation
def fields_open_no_event():
    """Only a data line opens an event."""
    events.EventReader.is_complete = property(
        lambda self: not self._partial_line and not self._data_lines
    )


@mutation
def lost_key_goes_first():
    """The first folder to read the others forgets a lost one for all."""
    observe = copies.ReadTracker.observe

    def stop_reading(self, folder_names, lost):
        are_gone = self._folder_names - folder_names
        observe(self, folder_names, lost)
        if are_gone:
            self._read.update(folder_names)

    copies.ReadTracker.observe = stop_reading
    copies.ReadTracker.may_forget = lambda self, lost_name, confirmed: (
        self.confirms(lost_name)
    )


@mutation
def chain_left_behind():
    """A turn is stored without the turns that it continues."""
    store_turn = quorum.Quorum.store_turn

    async def store_alone(self, turn, timeout_s, chain=()):
        await store_turn(self, turn, timeout_s)

    quorum.Quorum.store_turn = store_alone
    archive.Archive.missing_ids = lambda self, now_s: []


@mutation
def account_ends_with_turn():
    """A stored turn's charge is kept no longer than the turn."""
    merge_charges = history.merge_charges

    def merge_without_retention(known, charge):
        is_newer = charge.is_settled and not known.is_settled
        return charge if is_newer else merge_charges(known, charge)

    history.merge_charges = merge_without_retention


@mutation
def early_charges_deleted():
    """The charges of an account are deleted with their segments."""
    disk_archive.DiskArchive._living_charges = lambda self, segment: []


@mutation
def replayed_counts_as_synced():
    """Records that a killed process did not sync are taken for durable."""
    disk_archive.DiskArchive._sync_replayed = lambda self: None


@mutation
def emptied_before_caught_up():
    """A folder that lacks records is emptied without reading them first."""
    decommission = archive_service.ArchiveService.decommission

    async def catch_up():
        return

    async def decommission_at_once(self):
        self.catch_up = catch_up
        return await decommission(self)

    archive_service.ArchiveService.decommission = decommission_at_once


@mutation
def sets_counted_apart():
    """A reservation is made in the replica set alone that an entry sees."""
    copies.SetOverlap.observe = lambda self, names, now_s: [names]
