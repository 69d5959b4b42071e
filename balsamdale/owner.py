"""Access to the programs of the shards that this instance owns.

Performs what `program.next_action` decides: every record is durable before
the effect that depends on it.
"""

import asyncio
import collections
from collections import abc as collections_abc
import contextlib
import dataclasses
import functools
import random
import uuid

from absl import logging

from balsamdale import answer
from balsamdale import backend
from balsamdale import background
from balsamdale import burn
from balsamdale import codec
from balsamdale import declaration
from balsamdale import errors
from balsamdale import grant
from balsamdale import messages
from balsamdale import ownership
from balsamdale import placement
from balsamdale import program
from balsamdale import quarantine
from balsamdale import records
from balsamdale import retry
from balsamdale import shard
from balsamdale import turns

__all__ = ['Owner', 'Context']

RELEASE_RETRY_S = 0.5
COMMIT_TIMEOUT_S = 4.0


@dataclasses.dataclass(frozen=True)
class Context:
    """What an owner works with.

    Attributes:
        backends: requests to backend servers.
        grants: rights to send them.
        get_declaration: returns the declaration in force.
        clock: returns the present time in seconds since the Unix epoch.
        quarantine: requests that crash backend servers.
        report_crash: tells the other instances of a crash.
        generator: source of random choices.
    """

    backends: backend.Backends
    grants: grant.GrantRequester
    get_declaration: collections_abc.Callable[[], declaration.Declaration]
    clock: collections_abc.Callable[[], float]
    quarantine: quarantine.Quarantine
    report_crash: collections_abc.Callable[[str, str], None]
    generator: random.Random


class Owner:
    """Runs programs.

    Args:
        context: what the owner works with.
    """

    def __init__(self, context: Context):
        self._context = context
        self.ownership: ownership.Ownership | None = None
        self.programs: dict[str, program.Program] = {}
        self.waiting_for: dict[str, str] = {}
        self._locks: dict[str, asyncio.Lock] = collections.defaultdict(
            asyncio.Lock
        )
        self._answers: dict[tuple[str, int], answer.AnswerStream] = {}
        self._runs: dict[str, asyncio.Task] = {}
        self._releases: dict[str, asyncio.Task] = {}
        self._retries = retry.RetryBudget()

    @property
    def running_count(self) -> int:
        """Programs with a turn that runs here."""
        return len(self._runs)

    def restore_shard(self, held: shard.Shard) -> None:
        """Rebuild the programs of a shard and go on with them."""
        found = {}
        for entry in held.log:
            if entry.program_id:
                record = codec.decode(entry.body)
                before = found.get(entry.program_id)
                found[entry.program_id] = program.apply(record, before)
        self.programs.update(found)
        for program_id, restored in found.items():
            is_root = not restored.created.parent_id
            if is_root and program.find_open_turn(restored) is not None:
                self._ensure_run(program_id)
            if restored.ended is not None and restored.caching_servers:
                self._ensure_release(program_id)

    def stop_shard(self, number: int) -> None:
        """Stop all work on a shard that has another owner."""
        gone = [
            name
            for name in self.programs
            if placement.shard_of(name) == number
        ]
        error = errors.NotOwner(number, '')
        for name in gone:
            for tasks in (self._runs, self._releases):
                task = tasks.pop(name, None)
                if task is not None:
                    task.cancel()
            del self.programs[name]
            self._locks.pop(name, None)
        for key in [k for k in self._answers if k[0] in set(gone)]:
            self._answers.pop(key).fail(error)

    async def create(self, message: messages.CreateProgram) -> None:
        """Create a program, or confirm the same one.

        Raises:
            Refused: the terms are not valid, or differ from the program's.
        """
        declared = self._context.get_declaration()
        contract = declared.contract(message.contract)
        if contract is None:
            raise errors.Refused(
                'unknown_contract', 422, f'no contract {message.contract!r}'
            )
        if message.budget_tokens > contract.budget_tokens:
            raise errors.Refused(
                'budget_too_large', 422, 'the contract allows less'
            )
        now_s = self._context.clock()
        deadline_s = message.deadline_s
        created = records.ProgramCreated(
            program_id=message.program_id,
            caller=message.caller,
            service=contract.service,
            contract=contract.name,
            budget_tokens=message.budget_tokens or contract.budget_tokens,
            deadline_at_s=now_s + deadline_s if deadline_s else 0.0,
            created_at_s=now_s,
        )
        await self._commit_call(
            message.program_id, functools.partial(_create, created)
        )

    async def submit(
        self, message: messages.SubmitTurn
    ) -> tuple[int, answer.AnswerStream]:
        """Accept a turn durably, or join the one with the same id.

        Raises:
            Refused: the program does not take the call; it did not run.
        """
        held = self._find(message.program_id, message.caller)
        await self._commit_call(
            held.id, functools.partial(self._accept, message)
        )
        return self._join(held.id, message.request_id)

    async def request(
        self, message: messages.ServiceRequest
    ) -> tuple[int, answer.AnswerStream]:
        """Accept a request to a plain service, or join the same one.

        Raises:
            Refused: the request is not taken; it did not run.
        """
        declared = self._context.get_declaration()
        service = declared.service(message.service)
        if service is None or service.kind != 'plain':
            raise errors.Refused(
                'unknown_service', 404, f'no service {message.service!r}'
            )
        program_id = request_program_id(message)
        created = records.ProgramCreated(
            program_id=program_id,
            caller=message.caller,
            service=message.service,
            contract='',
            budget_tokens=0,
            deadline_at_s=0.0,
            created_at_s=self._context.clock(),
        )
        await self._commit_call(
            program_id, functools.partial(_create_request, created)
        )
        turn = messages.SubmitTurn(
            program_id,
            message.caller,
            message.request_id,
            message.digest,
            message.text,
        )
        return await self.submit(turn)

    async def end(self, program_id: str, reason: str) -> None:
        """End a program and its sub-agents, and release what they hold."""
        prefix = f'{program_id}/'
        for name in list(self.programs):
            if name == program_id or name.startswith(prefix):
                await self._commit(name, functools.partial(self._end, reason))
                self._ensure_release(name)

    def burn_counts(self) -> tuple[burn.Counts, ...]:
        """Count the turns of the programs kept here, for the burn report."""
        return burn.count(
            list(self.programs.values()),
            self._context.get_declaration(),
            self._context.clock(),
        )

    def find(self, program_id: str) -> program.Program:
        """Return a program.

        Raises:
            Refused: there is no such program.
        """
        held = self.programs.get(program_id)
        if held is None:
            raise errors.Refused(
                'unknown_program', 404, f'no program {program_id!r}'
            )
        return held

    def join_turn(self, program_id: str, turn: int) -> answer.AnswerStream:
        """Return the answer of a turn.

        Raises:
            Refused: there is no such turn.
        """
        held = self.find(program_id)
        if not 0 <= turn < len(held.turns):
            raise errors.Refused('unknown_turn', 404, f'no turn {turn}')
        return self._answer(held, turn)

    async def close(self) -> None:
        """Stop all work where it stands; a successor goes on with it."""
        for task in [*self._runs.values(), *self._releases.values()]:
            task.cancel()

    def _find(self, program_id, caller):
        held = self.find(program_id)
        if held.created.caller != caller:
            raise errors.Refused(
                'wrong_caller', 403, 'the program belongs to another caller'
            )
        return held

    def _check_quarantine(self, digest):
        if self._context.quarantine.is_quarantined(digest):
            raise errors.Refused(
                'quarantined', 422, 'this request crashes backend servers'
            )

    def _accept(self, message, held):
        """Return the record that opens a turn, unless it exists."""
        turn = held.find_turn(message.request_id)
        if turn is not None and turn.accepted.digest != message.digest:
            raise errors.Refused(
                'request_id_reused', 422, 'same request id, another body'
            )
        if turn is not None and not turns.can_resubmit(turn):
            return []
        self._check_quarantine(message.digest)
        if held.ended is not None:
            raise errors.Refused(
                'program_ended', 409, 'the program takes no further calls'
            )
        accepted = records.CallAccepted(
            program_id=held.id,
            turn=len(held.turns),
            request_id=message.request_id,
            digest=message.digest,
            text=message.text,
            accepted_at_s=self._context.clock(),
        )
        return [accepted]

    def _end(self, reason, held):
        if held.ended is not None:
            return []
        now_s = self._context.clock()
        return [records.ProgramEnded(held.id, reason, now_s)]

    def _join(self, program_id, request_id):
        held = self.programs[program_id]
        turn = held.find_turn(request_id)
        number = turn.accepted.turn
        if turn.answer is None:
            self._ensure_run(program_id)
        return number, self._answer(held, number)

    def _answer(self, held, number):
        key = (held.id, number)
        stream = self._answers.get(key)
        if stream is None:
            stream = answer.AnswerStream()
            ready = held.turns[number].answer
            if ready is not None:
                stream.start(turns.answer_step(held.turns[number]))
                stream.write(ready.text)
                stream.finish(turns.final_event(ready))
                return stream
            self._answers[key] = stream
        return stream

    async def _commit_call(self, program_id, decide):
        """Commit on behalf of a caller, who gets an answer in time.

        Raises:
            Refused: too few journals answer. It did not run if that was
                known beforehand; else the record may still become durable.
        """
        if not decide(self.programs.get(program_id)):
            return
        number = placement.shard_of(program_id)
        if not self.ownership.is_writable(number):
            is_pending = self._locks[program_id].locked()
            raise _unwritable('unknown' if is_pending else 'no')
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                await self._commit(program_id, decide)
        except TimeoutError as error:
            raise _unwritable('unknown') from error

    async def _commit(self, program_id, decide):
        """Decide on records, make them durable, then apply them.

        A cancelled caller does not stop it half-way: what the log holds and
        what is applied would differ.
        """
        task = asyncio.create_task(self._commit_now(program_id, decide))
        task.add_done_callback(background.retrieve_exception)
        await asyncio.shield(task)

    async def _commit_now(self, program_id, decide):
        number = placement.shard_of(program_id)
        async with self._locks[program_id]:
            if not self.ownership.is_serving(number):
                raise errors.NotOwner(number, '')
            before = self.programs.get(program_id)
            decided = decide(before)
            if not decided:
                return
            after = before
            for record in decided:
                after = program.apply(record, after)
            bodies = tuple(codec.encode(record) for record in decided)
            await self.ownership.append(number, program_id, bodies)
            self.programs[program_id] = after
        if program.find_open_turn(after) is not None:
            self._ensure_run(program_id)

    async def _record(self, record):
        await self._commit(record.program_id, lambda _: [record])

    def _ensure_run(self, program_id):
        if program_id not in self._runs:
            task = asyncio.create_task(self._run(program_id))
            self._runs[program_id] = task
            task.add_done_callback(
                functools.partial(self._run_ended, program_id)
            )

    def _run_ended(self, program_id, task):
        if self._runs.get(program_id) is task:
            del self._runs[program_id]
        self.waiting_for.pop(program_id, None)
        if task.cancelled():
            return
        error = task.exception()
        if isinstance(error, errors.NotOwner):
            return
        if error is not None:
            logging.error('owner: program %s: %r', program_id, error)
        held = self.programs.get(program_id)
        if held is not None and program.find_open_turn(held) is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(1.0, self._ensure_run_if_held, program_id)

    def _ensure_run_if_held(self, program_id):
        if program_id in self.programs:
            self._ensure_run(program_id)

    async def _run(self, program_id):
        """Run the open turns of a program in order."""
        await self._close_open_step(program_id)
        while True:
            held = self.programs[program_id]
            turn = program.find_open_turn(held)
            if turn is None:
                return
            if turn.steps and turn.steps[-1].finished is None:
                await self._finish_agent(held, turn)
                continue
            action = self._next_action(held, turn)
            if isinstance(action, program.Finish):
                await self._finish(held, turn, action)
            else:
                await self._step(held, turn, action)

    async def _close_open_step(self, program_id):
        await self._commit(program_id, self._closing)

    def _closing(self, held):
        closing = program.finish_interrupted_step(held, self._context.clock())
        return [] if closing is None else [closing]

    def _next_action(self, held, turn):
        if self._context.quarantine.is_quarantined(turn.accepted.digest):
            return program.Finish('failed', 'quarantined', '', 'unknown')
        action = program.next_action(
            held, turn, self._context.get_declaration(), self._context.clock()
        )
        if isinstance(action, program.Finish):
            return action
        left_s = self._left_s(held, turn)
        if left_s is not None and left_s <= 0:
            return turns.deadline_finish(turn)
        return action

    async def _finish(self, held, turn, action):
        ready = records.AnswerReady(
            program_id=held.id,
            turn=turn.accepted.turn,
            outcome=action.outcome,
            code=action.code,
            text=action.text,
            ran=action.ran,
            retry_after_s=action.retry_after_s,
            finished_at_s=self._context.clock(),
        )
        await self._record(ready)
        stream = self._answers.pop((held.id, ready.turn), None)
        if stream is not None:
            stream.finish(turns.final_event(ready))
        if held.is_plain_request:
            await self.end(held.id, 'answered')

    async def _step(self, held, turn, action):
        """Run one step; a refusal or a passed deadline ends the turn."""
        try:
            async with asyncio.timeout(self._left_s(held, turn)):
                await self._perform(held, turn, action)
        except errors.Refused as refused:
            turn = self._turn_now(held, turn)
            ending = program.Finish(
                'failed',
                refused.code,
                '',
                program.run_status(turn),
                refused.retry_after_s,
            )
            await self._finish(held, turn, ending)
        except TimeoutError:
            await self._close_open_step(held.id)
            turn = self._turn_now(held, turn)
            if turn.steps and turn.steps[-1].finished is None:
                await self._finish_agent(held, turn)
                turn = self._turn_now(held, turn)
            if turn.answer is None:
                await self._finish(held, turn, turns.deadline_finish(turn))

    def _turn_now(self, held, turn):
        return self.programs[held.id].turns[turn.accepted.turn]

    async def _perform(self, held, turn, action):
        if isinstance(action, program.CallAgent):
            await self._start_agent(held, turn, action)
        else:
            await self._send(held, turn, action)

    async def _send(self, held, turn, action):
        """Send one request under a grant and record its outcome."""
        await self._pause_before_retry(turn)
        demand = self._demand(held, turn, action)
        self.waiting_for[held.id] = f'a grant of {action.service}'
        lease = await self._context.grants.acquire(demand)
        keeping = asyncio.create_task(
            self._context.grants.renew_until_cancelled(lease)
        )
        resident_tokens = 0
        awaits_caller = False
        try:
            now_s = self._context.clock()
            started = program.build_step_started(
                held, turn, action, lease.server.name, now_s
            )
            await self._record(started)
            self.waiting_for[held.id] = (
                f'{action.service}, {lease.server.name}'
            )
            finished = await self._call(held, started, action, lease)
            await self._record(finished)
            resident_tokens = finished.prompt_tokens + finished.answer_tokens
            awaits_caller = not finished.tool_calls
        finally:
            keeping.cancel()
            back = self._context.grants.return_grant(
                lease,
                held.id,
                resident_tokens,
                awaits_caller=awaits_caller,
            )
            await asyncio.shield(asyncio.ensure_future(back))

    async def _pause_before_retry(self, turn):
        """Delay a retry, within the retry budget."""
        failures = 0
        for step in reversed(turn.steps):
            if step.finished.outcome == 'ok':
                break
            failures += 1
        if not failures:
            return
        if not self._retries.try_acquire():
            raise errors.Refused(
                'retries_exhausted', 503, 'too many retries', retry_after_s=5.0
            )
        await asyncio.sleep(retry.delay_s(failures, self._context.generator))

    async def _call(self, held, started, action, lease):
        """Run a request and return the record of its outcome."""
        request_id = f'{held.id}:{started.turn}:{started.step}'
        try:
            if isinstance(action, program.CallEngine):
                done = await self._complete(held, started, action, lease)
            else:
                done = await self._invoke(started, action, lease)
            self._retries.record_success()
            return done
        except errors.BackendFailed as failure:
            return self._failed(held, started, failure)
        except asyncio.CancelledError:
            if isinstance(action, program.CallEngine):
                self._cancel_later(lease.server, request_id)
            raise

    async def _complete(self, held, started, action, lease):
        declared = self._context.get_declaration()
        model = declared.service(action.service).model
        request_id = f'{held.id}:{started.turn}:{started.step}'
        stream = self._answer(held, started.turn)
        stream.start(started.step)
        parts = self._context.backends.complete(
            lease.server, model, action, request_id, held.id
        )
        async for part in parts:
            if isinstance(part, backend.TextDelta):
                stream.write(part.text)
            else:
                return self._completed(started, part)
        raise errors.BackendFailed(lease.server.name, 'unknown', 'no end')

    def _completed(self, started, part):
        return records.StepFinished(
            program_id=started.program_id,
            turn=started.turn,
            step=started.step,
            outcome='ok',
            output=part.text,
            tool_calls=part.tool_calls,
            prompt_tokens=part.prompt_tokens,
            answer_tokens=part.answer_tokens,
            cached_tokens=part.cached_tokens,
            charged_tokens=part.prompt_tokens + part.answer_tokens,
            finished_at_s=self._context.clock(),
        )

    async def _invoke(self, started, action, lease):
        request_id = f'{started.program_id}:{started.turn}:{action.call_id}'
        output = await self._context.backends.invoke(
            lease.server, action, request_id
        )
        return self._plain_end(started, 'ok', output, 0)

    def _failed(self, held, started, failure):
        logging.info('owner: program %s: %s', held.id, failure)
        if failure.ran == 'no':
            self._context.grants.mark_unreachable(failure.server)
            return self._plain_end(started, 'failed', str(failure), 0)
        if failure.crashed:
            self._context.grants.mark_unreachable(failure.server)
            turn = self.programs[held.id].turns[started.turn]
            self._context.report_crash(turn.accepted.digest, failure.server)
        return self._plain_end(
            started, 'unknown', str(failure), started.reserved_tokens
        )

    def _plain_end(self, started, outcome, output, charged_tokens):
        return records.StepFinished(
            program_id=started.program_id,
            turn=started.turn,
            step=started.step,
            outcome=outcome,
            output=output,
            tool_calls=(),
            prompt_tokens=0,
            answer_tokens=0,
            cached_tokens=0,
            charged_tokens=charged_tokens,
            finished_at_s=self._context.clock(),
        )

    def _cancel_later(self, server, request_id):
        task = asyncio.create_task(self._cancel(server, request_id))
        self._releases[f'cancel {request_id}'] = task
        task.add_done_callback(
            lambda _: self._releases.pop(f'cancel {request_id}', None)
        )

    async def _cancel(self, server, request_id):
        with contextlib.suppress(errors.BackendFailed):
            await self._context.backends.cancel(server, request_id)

    async def _start_agent(self, held, turn, action):
        now_s = self._context.clock()
        started = program.build_step_started(held, turn, action, '', now_s)
        await self._record(started)
        held = self.programs[held.id]
        await self._finish_agent(held, program.find_open_turn(held))

    async def _finish_agent(self, held, turn):
        """Run the sub-agent of an open step to its end."""
        started = turn.steps[-1].started
        self.waiting_for[held.id] = f'sub-agent {started.target}'
        created = records.ProgramCreated(
            program_id=started.target,
            caller=held.created.caller,
            service=held.created.service,
            contract=held.created.contract,
            budget_tokens=started.reserved_tokens,
            deadline_at_s=self._deadline_at_s(held, turn),
            created_at_s=self._context.clock(),
            parent_id=held.id,
        )
        await self._commit(
            started.target, functools.partial(_create_agent, created)
        )
        task = turns.find_agent_task(turn, started)
        submitted = messages.SubmitTurn(
            started.target,
            held.created.caller,
            'task',
            program.digest_of(task),
            task,
        )
        await self._commit(
            started.target, functools.partial(self._accept, submitted)
        )
        _, stream = self._join(started.target, 'task')
        final = await _last(stream.read())
        spent_tokens = self.programs[started.target].spent_tokens
        output = final.text or f'the sub-agent ended: {final.code}'
        await self._record(
            self._plain_end(started, 'ok', output, spent_tokens)
        )
        await self.end(started.target, 'answered')

    def _demand(self, held, turn, action):
        is_engine = isinstance(action, program.CallEngine)
        left_s = self._left_s(held, turn)
        contract = self._context.get_declaration().contract(
            held.created.contract
        )
        priority = contract.priority if contract else 'urgent'
        return grant.Demand(
            service=action.service,
            program_id=held.id,
            preferred_server=turns.preferred_server(held) if is_engine else '',
            priority=priority,
            slack_s=-1.0 if left_s is None else max(0.0, left_s),
            attained_tokens=held.spent_tokens,
            prompt_tokens=turns.estimate_prompt_tokens(action)
            if is_engine
            else 0,
            answer_tokens=action.answer_tokens if is_engine else 0,
            suspect=self._context.quarantine.is_suspected(
                turn.accepted.digest
            ),
        )

    def _deadline_at_s(self, held, turn):
        """Return when a turn must be done; 0 means never."""
        bounds = [held.created.deadline_at_s]
        contract = self._context.get_declaration().contract(
            held.created.contract
        )
        if contract is not None and contract.turn_deadline_s:
            bounds.append(
                turn.accepted.accepted_at_s + contract.turn_deadline_s
            )
        return min((b for b in bounds if b), default=0.0)

    def _left_s(self, held, turn):
        deadline_at_s = self._deadline_at_s(held, turn)
        if not deadline_at_s:
            return None
        return deadline_at_s - self._context.clock()

    def _ensure_release(self, program_id):
        if program_id not in self._releases:
            task = asyncio.create_task(self._release(program_id))
            self._releases[program_id] = task
            task.add_done_callback(
                lambda _: self._releases.pop(program_id, None)
            )

    async def _release(self, program_id):
        """Drop an ended program's cache until each engine confirms."""
        while program_id in self.programs:
            run = self._runs.get(program_id)
            if run is not None:
                await asyncio.wait({run})
            held = self.programs.get(program_id)
            if held is None or not held.caching_servers:
                return
            for name in sorted(held.caching_servers):
                await self._release_from(held, name)
            if self.programs[program_id].caching_servers:
                await asyncio.sleep(RELEASE_RETRY_S)

    async def _release_from(self, held, name):
        server = self._context.get_declaration().server(name)
        if server is not None:
            try:
                await self._context.backends.release(server, held.id)
            except errors.BackendFailed as error:
                logging.debug('owner: release failed: %s', error)
                return
            lease = grant.HeldGrant(server, uuid.uuid4().hex)
            await self._context.grants.return_grant(
                lease, held.id, 0, ended=True
            )
        await self._record(records.CacheReleased(held.id, name))


def _unwritable(ran):
    return errors.Refused(
        'journal_unavailable',
        503,
        'too few journals',
        ran,
        ownership.JOURNAL_RETRY_AFTER_S,
    )


def request_program_id(message: messages.ServiceRequest) -> str:
    """Return the program that stands for a plain request."""
    digest = program.digest_of(
        message.caller, message.service, message.request_id
    )
    return f'request-{digest}'


def _create(created, held):
    if held is None:
        return [created]
    same = dataclasses.replace(
        created,
        created_at_s=held.created.created_at_s,
        deadline_at_s=held.created.deadline_at_s,
    )
    if same != held.created:
        raise errors.Refused(
            'program_exists', 409, 'the program exists with other terms'
        )
    return []


def _create_request(created, held):
    return [created] if held is None else []


def _create_agent(created, held):
    return [created] if held is None else []


async def _last(stream):
    async for event in stream:
        if isinstance(event, messages.AnswerFinal):
            return event
    raise errors.OutOfOrder('an answer ended without its final event')
