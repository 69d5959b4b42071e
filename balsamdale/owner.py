"""Runs the programs of the shards that this instance owns.

Runs the actions that `program.next_action` chooses: every record is durable
before the effect that depends on it.
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
from balsamdale import burn_rate
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

__all__ = ['Context', 'Owner']

RELEASE_RETRY_INTERVAL_S = 0.5
COMMIT_TIMEOUT_S = 4.0


@dataclasses.dataclass(frozen=True)
class Context:
    """Collaborators of an owner.

    Attributes:
        backends: requests to backend servers.
        grants: requests the grants that permit sending these.
        get_declaration: returns the declaration in force.
        clock: returns the present time in seconds since the Unix epoch.
        quarantine: digests of requests that crashed backend servers.
        report_crash: reports to the peers the digest of a request and the
            server that it crashed.
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
    """Runs the programs of the shards that an instance serves.

    `programs` holds their states by program id. `waiting_for` holds what each
    running program waits for, which is shown to operators.

    Args:
        context: collaborators of the owner.
    """

    def __init__(self, context: Context):
        self._context = context
        self.ownership: ownership.Ownership | None = None
        self.programs: dict[str, program.Program] = {}
        self.waiting_for: dict[str, str] = {}
        self._locks: dict[str, asyncio.Lock] = collections.defaultdict(
            asyncio.Lock
        )
        self._answer_streams: dict[tuple[str, int], answer.AnswerStream] = {}
        self._run_tasks: dict[str, asyncio.Task] = {}
        self._cleanup_tasks: dict[str, asyncio.Task] = {}
        self._retry_budget = retry.RetryBudget()

    @property
    def running_count(self) -> int:
        """Programs with a turn that runs on this instance."""
        return len(self._run_tasks)

    def restore_shard(self, opened_shard: shard.Shard) -> None:
        """Rebuild the programs of a shard from its log and resume them."""
        restored_states = {}
        for entry in opened_shard.log:
            if entry.program_id:
                record = codec.decode(entry.body)
                state_before = restored_states.get(entry.program_id)
                restored_states[entry.program_id] = program.apply(
                    record, state_before
                )
        self.programs.update(restored_states)
        for program_id, program_state in restored_states.items():
            is_root = not program_state.created.parent_id
            if is_root and program.find_open_turn(program_state) is not None:
                self._ensure_run(program_id)
            if (
                program_state.ended is not None
                and program_state.caching_servers
            ):
                self._ensure_release(program_id)

    def stop_shard(self, shard_number: int) -> None:
        """Stop all work on a shard that has another owner."""
        program_ids = [
            program_id
            for program_id in self.programs
            if placement.shard_of(program_id) == shard_number
        ]
        error = errors.NotOwner(shard_number, '')
        for program_id in program_ids:
            for tasks in (self._run_tasks, self._cleanup_tasks):
                task = tasks.pop(program_id, None)
                if task is not None:
                    task.cancel()
            del self.programs[program_id]
            self._locks.pop(program_id, None)
        for key in [
            k for k in self._answer_streams if k[0] in set(program_ids)
        ]:
            self._answer_streams.pop(key).fail(error)

    async def create(self, message: messages.CreateProgram) -> None:
        """Create a program; creating the same one again changes nothing.

        Raises:
            Refused: the terms are not valid, or a program with this id has
                other terms.
        """
        current_declaration = self._context.get_declaration()
        contract = current_declaration.contract(message.contract)
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
        await self._commit_for_caller(
            message.program_id, functools.partial(_decide_create, created)
        )

    async def submit(
        self, message: messages.SubmitTurn
    ) -> tuple[int, answer.AnswerStream]:
        """Accept a turn durably, or join the one with the same request id.

        Returns:
            The number of the turn and the stream of its answer.

        Raises:
            Refused: the turn was not accepted; `ran` tells whether it may
                have run.
        """
        program_state = self._find_for_caller(
            message.program_id, message.caller
        )
        await self._commit_for_caller(
            program_state.id, functools.partial(self._decide_accept, message)
        )
        return self._join_request(program_state.id, message.request_id)

    async def request(
        self, message: messages.ServiceRequest
    ) -> tuple[int, answer.AnswerStream]:
        """Accept a request to a plain service, or join the same one.

        Returns:
            The number of the turn and the stream of its answer.

        Raises:
            Refused: the request was not accepted; `ran` tells whether it
                may have run.
        """
        current_declaration = self._context.get_declaration()
        service = current_declaration.service(message.service)
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
        await self._commit_for_caller(
            program_id, functools.partial(_decide_create_request, created)
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
        """End a program and its sub-agents, and release their caches."""
        prefix = f'{program_id}/'
        for other_id in list(self.programs):
            if other_id == program_id or other_id.startswith(prefix):
                await self._commit(
                    other_id, functools.partial(self._decide_end, reason)
                )
                self._ensure_release(other_id)

    def burn_counts(self) -> tuple[burn_rate.Counts, ...]:
        """Count the turns of this owner's programs for the burn rates."""
        return burn_rate.count_turns(
            list(self.programs.values()),
            self._context.get_declaration(),
            self._context.clock(),
        )

    def find(self, program_id: str) -> program.Program:
        """Return the state of a program.

        Raises:
            Refused: there is no such program.
        """
        program_state = self.programs.get(program_id)
        if program_state is None:
            raise errors.Refused(
                'unknown_program', 404, f'no program {program_id!r}'
            )
        return program_state

    def join_turn(
        self, program_id: str, turn_number: int
    ) -> answer.AnswerStream:
        """Return the stream of a turn's answer.

        Raises:
            Refused: there is no such turn.
        """
        program_state = self.find(program_id)
        if not 0 <= turn_number < len(program_state.turns):
            raise errors.Refused('unknown_turn', 404, f'no turn {turn_number}')
        return self._answer_stream(program_state, turn_number)

    async def close(self) -> None:
        """Cancel all work; a successor resumes it from the journal."""
        for task in [*self._run_tasks.values(), *self._cleanup_tasks.values()]:
            task.cancel()

    def _find_for_caller(self, program_id, caller):
        program_state = self.find(program_id)
        if program_state.created.caller != caller:
            raise errors.Refused(
                'wrong_caller', 403, 'the program belongs to another caller'
            )
        return program_state

    def _check_quarantine(self, digest):
        if self._context.quarantine.is_quarantined(
            digest, self._context.clock()
        ):
            raise errors.Refused(
                'quarantined', 422, 'this request crashes backend servers'
            )

    def _decide_accept(self, message, program_state):
        """Return the record that opens a turn, or none if it exists."""
        turn = program_state.find_turn(message.request_id)
        if turn is not None and turn.accepted.digest != message.digest:
            raise errors.Refused(
                'request_id_reused', 422, 'same request id, another body'
            )
        if turn is not None and not turns.can_resubmit(turn):
            return []
        self._check_quarantine(message.digest)
        if program_state.ended is not None:
            raise errors.Refused(
                'program_ended', 409, 'the program takes no further calls'
            )
        accepted = records.CallAccepted(
            program_id=program_state.id,
            turn=len(program_state.turns),
            request_id=message.request_id,
            digest=message.digest,
            text=message.text,
            accepted_at_s=self._context.clock(),
        )
        return [accepted]

    def _decide_end(self, reason, program_state):
        if program_state.ended is not None:
            return []
        now_s = self._context.clock()
        return [records.ProgramEnded(program_state.id, reason, now_s)]

    def _join_request(self, program_id, request_id):
        program_state = self.programs[program_id]
        turn = program_state.find_turn(request_id)
        turn_number = turn.accepted.turn
        if turn.answer is None:
            self._ensure_run(program_id)
        return turn_number, self._answer_stream(program_state, turn_number)

    def _answer_stream(self, program_state, turn_number):
        key = (program_state.id, turn_number)
        stream = self._answer_streams.get(key)
        if stream is None:
            stream = answer.AnswerStream()
            answer_record = program_state.turns[turn_number].answer
            if answer_record is not None:
                stream.start(
                    turns.answer_step(program_state.turns[turn_number])
                )
                stream.write(answer_record.text)
                stream.finish(turns.final_event(answer_record))
                return stream
            self._answer_streams[key] = stream
        return stream

    async def _commit_for_caller(self, program_id, decide):
        """Commit on behalf of a caller, within `COMMIT_TIMEOUT_S`.

        Raises:
            Refused: too few journals reply. The call did not run if that
                was known beforehand; otherwise its record may still become
                durable.
        """
        if not decide(self.programs.get(program_id)):
            return
        shard_number = placement.shard_of(program_id)
        if not self.ownership.is_writable(shard_number):
            is_pending = self._locks[program_id].locked()
            raise _journal_unavailable('unknown' if is_pending else 'no')
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                await self._commit(program_id, decide)
        except TimeoutError as error:
            raise _journal_unavailable('unknown') from error

    async def _commit(self, program_id, decide):
        """Decide on records, make them durable, then apply them.

        Cancelling the task that awaits this does not interrupt it: otherwise
        the state could miss records that the log holds.
        """
        task = asyncio.create_task(self._commit_locked(program_id, decide))
        task.add_done_callback(background.retrieve_exception)
        await asyncio.shield(task)

    async def _commit_locked(self, program_id, decide):
        shard_number = placement.shard_of(program_id)
        async with self._locks[program_id]:
            if not self.ownership.is_serving(shard_number):
                raise errors.NotOwner(shard_number, '')
            state_before = self.programs.get(program_id)
            new_records = decide(state_before)
            if not new_records:
                return
            state_after = state_before
            for record in new_records:
                state_after = program.apply(record, state_after)
            bodies = tuple(codec.encode(record) for record in new_records)
            await self.ownership.append(shard_number, program_id, bodies)
            self.programs[program_id] = state_after
        if program.find_open_turn(state_after) is not None:
            self._ensure_run(program_id)

    async def _commit_record(self, record):
        await self._commit(record.program_id, lambda _: [record])

    def _ensure_run(self, program_id):
        if program_id not in self._run_tasks:
            task = asyncio.create_task(self._run_program(program_id))
            self._run_tasks[program_id] = task
            task.add_done_callback(
                functools.partial(self._on_run_done, program_id)
            )

    def _on_run_done(self, program_id, task):
        if self._run_tasks.get(program_id) is task:
            del self._run_tasks[program_id]
        self.waiting_for.pop(program_id, None)
        if task.cancelled():
            return
        error = task.exception()
        if isinstance(error, errors.NotOwner):
            return
        if error is not None:
            logging.error('owner: running program %s: %r', program_id, error)
        program_state = self.programs.get(program_id)
        if (
            program_state is not None
            and program.find_open_turn(program_state) is not None
        ):
            loop = asyncio.get_running_loop()
            loop.call_later(1.0, self._ensure_run_if_owned, program_id)

    def _ensure_run_if_owned(self, program_id):
        if program_id in self.programs:
            self._ensure_run(program_id)

    async def _run_program(self, program_id):
        """Run the open turns of a program in order."""
        await self._record_interrupted_step(program_id)
        while True:
            program_state = self.programs[program_id]
            turn = program.find_open_turn(program_state)
            if turn is None:
                return
            if turn.steps and turn.steps[-1].finished is None:
                await self._run_agent_step(program_state, turn)
                continue
            action = self._next_action(program_state, turn)
            if isinstance(action, program.Finish):
                await self._finish_turn(program_state, turn, action)
            else:
                await self._run_step(program_state, turn, action)

    async def _record_interrupted_step(self, program_id):
        await self._commit(program_id, self._decide_finish_interrupted)

    def _decide_finish_interrupted(self, program_state):
        step_finished = program.finish_interrupted_step(
            program_state, self._context.clock()
        )
        return [] if step_finished is None else [step_finished]

    def _next_action(self, program_state, turn):
        if self._context.quarantine.is_quarantined(
            turn.accepted.digest, self._context.clock()
        ):
            return program.Finish('failed', 'quarantined', '', 'unknown')
        action = program.next_action(
            program_state,
            turn,
            self._context.get_declaration(),
            self._context.clock(),
        )
        if isinstance(action, program.Finish):
            return action
        remaining_s = self._remaining_s(program_state, turn)
        if remaining_s is not None and remaining_s <= 0:
            return turns.deadline_finish(turn)
        return action

    async def _finish_turn(self, program_state, turn, action):
        answer_record = records.AnswerReady(
            program_id=program_state.id,
            turn=turn.accepted.turn,
            outcome=action.outcome,
            code=action.code,
            text=action.text,
            ran=action.ran,
            retry_after_s=action.retry_after_s,
            finished_at_s=self._context.clock(),
        )
        await self._commit_record(answer_record)
        stream = self._answer_streams.pop(
            (program_state.id, answer_record.turn), None
        )
        if stream is not None:
            stream.finish(turns.final_event(answer_record))
        if program_state.is_plain_request:
            await self.end(program_state.id, 'answered')

    async def _run_step(self, program_state, turn, action):
        """Run one step; a refusal or the turn's deadline ends the turn."""
        try:
            async with asyncio.timeout(self._remaining_s(program_state, turn)):
                await self._run_action(program_state, turn, action)
        except errors.Refused as refused:
            turn = self._current_turn(program_state, turn)
            finish = program.Finish(
                'failed',
                refused.code,
                '',
                program.run_status(turn),
                refused.retry_after_s,
            )
            await self._finish_turn(program_state, turn, finish)
        except TimeoutError:
            await self._record_interrupted_step(program_state.id)
            turn = self._current_turn(program_state, turn)
            if turn.steps and turn.steps[-1].finished is None:
                await self._run_agent_step(program_state, turn)
                turn = self._current_turn(program_state, turn)
            if turn.answer is None:
                await self._finish_turn(
                    program_state, turn, turns.deadline_finish(turn)
                )

    def _current_turn(self, program_state, turn):
        return self.programs[program_state.id].turns[turn.accepted.turn]

    async def _run_action(self, program_state, turn, action):
        if isinstance(action, program.CallAgent):
            await self._start_agent(program_state, turn, action)
        else:
            await self._send_with_grant(program_state, turn, action)

    async def _send_with_grant(self, program_state, turn, action):
        """Send one request under a grant and record its outcome."""
        await self._pause_before_retry(turn)
        demand = self._build_demand(program_state, turn, action)
        self.waiting_for[program_state.id] = f'a grant of {action.service}'
        held_grant = await self._context.grants.acquire(demand)
        renewal = asyncio.create_task(
            self._context.grants.renew_until_cancelled(held_grant)
        )
        resident_tokens = 0
        awaits_caller = False
        try:
            now_s = self._context.clock()
            started = program.build_step_started(
                program_state, turn, action, held_grant.server.name, now_s
            )
            await self._commit_record(started)
            self.waiting_for[program_state.id] = (
                f'{action.service}, {held_grant.server.name}'
            )
            finished = await self._call_backend(
                program_state, started, action, held_grant
            )
            await self._commit_record(finished)
            resident_tokens = finished.prompt_tokens + finished.answer_tokens
            awaits_caller = not finished.tool_calls
        finally:
            renewal.cancel()
            return_call = self._context.grants.return_grant(
                held_grant,
                program_state.id,
                resident_tokens,
                awaits_caller=awaits_caller,
            )
            await asyncio.shield(asyncio.ensure_future(return_call))

    async def _pause_before_retry(self, turn):
        """Delay a retry.

        Raises:
            Refused: the retry budget is used up.
        """
        failures = 0
        for step in reversed(turn.steps):
            if step.finished.outcome == 'ok':
                break
            failures += 1
        if not failures:
            return
        if not self._retry_budget.try_acquire():
            raise errors.Refused(
                'retries_exhausted',
                503,
                'too many retries',
                retry_after_s=5.0,
            )
        await asyncio.sleep(retry.delay_s(failures, self._context.generator))

    async def _call_backend(self, program_state, started, action, held_grant):
        """Send a request and return the record of its outcome."""
        request_id = f'{program_state.id}:{started.turn}:{started.step}'
        try:
            if isinstance(action, program.CallEngine):
                finished = await self._call_engine(
                    program_state, started, action, held_grant
                )
            else:
                finished = await self._call_tool(started, action, held_grant)
            self._retry_budget.record_success()
            return finished
        except errors.BackendFailed as failure:
            return self._handle_failure(program_state, started, failure)
        except asyncio.CancelledError:
            if isinstance(action, program.CallEngine):
                self._cancel_in_background(held_grant.server, request_id)
            raise

    async def _call_engine(self, program_state, started, action, held_grant):
        current_declaration = self._context.get_declaration()
        model = current_declaration.service(action.service).model
        request_id = f'{program_state.id}:{started.turn}:{started.step}'
        stream = self._answer_stream(program_state, started.turn)
        stream.start(started.step)
        stream_events = self._context.backends.complete(
            held_grant.server, model, action, request_id, program_state.id
        )
        async for stream_event in stream_events:
            if isinstance(stream_event, backend.TextDelta):
                stream.write(stream_event.text)
            else:
                return self._build_engine_finished(started, stream_event)
        raise errors.BackendFailed(held_grant.server.name, 'unknown', 'no end')

    def _build_engine_finished(self, started, completion):
        return records.StepFinished(
            program_id=started.program_id,
            turn=started.turn,
            step=started.step,
            outcome='ok',
            output=completion.text,
            tool_calls=completion.tool_calls,
            prompt_tokens=completion.prompt_tokens,
            answer_tokens=completion.answer_tokens,
            cached_tokens=completion.cached_tokens,
            charged_tokens=completion.prompt_tokens + completion.answer_tokens,
            finished_at_s=self._context.clock(),
        )

    async def _call_tool(self, started, action, held_grant):
        request_id = f'{started.program_id}:{started.turn}:{action.call_id}'
        output = await self._context.backends.invoke(
            held_grant.server, action, request_id
        )
        return self._build_step_finished(started, 'ok', output, 0)

    def _handle_failure(self, program_state, started, failure):
        """Return the record of a failed request; report a server's crash."""
        logging.info('owner: program %s: %s', program_state.id, failure)
        if failure.ran == 'no':
            self._context.grants.mark_unreachable(failure.server)
            return self._build_step_finished(
                started, 'failed', str(failure), 0
            )
        if failure.crashed:
            self._context.grants.mark_unreachable(failure.server)
            turn = self.programs[program_state.id].turns[started.turn]
            self._context.report_crash(turn.accepted.digest, failure.server)
        return self._build_step_finished(
            started, 'unknown', str(failure), started.reserved_tokens
        )

    def _build_step_finished(self, started, outcome, output, charged_tokens):
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

    def _cancel_in_background(self, server, request_id):
        task = asyncio.create_task(self._cancel_model_call(server, request_id))
        self._cleanup_tasks[f'cancel {request_id}'] = task
        task.add_done_callback(
            lambda _: self._cleanup_tasks.pop(f'cancel {request_id}', None)
        )

    async def _cancel_model_call(self, server, request_id):
        with contextlib.suppress(errors.BackendFailed):
            await self._context.backends.cancel(server, request_id)

    async def _start_agent(self, program_state, turn, action):
        now_s = self._context.clock()
        started = program.build_step_started(
            program_state, turn, action, '', now_s
        )
        await self._commit_record(started)
        program_state = self.programs[program_state.id]
        await self._run_agent_step(
            program_state, program.find_open_turn(program_state)
        )

    async def _run_agent_step(self, program_state, turn):
        """Run the sub-agent of an open step and record the outcome."""
        started = turn.steps[-1].started
        self.waiting_for[program_state.id] = f'sub-agent {started.target}'
        created = records.ProgramCreated(
            program_id=started.target,
            caller=program_state.created.caller,
            service=program_state.created.service,
            contract=program_state.created.contract,
            budget_tokens=started.reserved_tokens,
            deadline_at_s=self._deadline_at_s(program_state, turn),
            created_at_s=self._context.clock(),
            parent_id=program_state.id,
        )
        await self._commit(
            started.target, functools.partial(_decide_create_agent, created)
        )
        task = turns.find_agent_task(turn, started)
        task_message = messages.SubmitTurn(
            started.target,
            program_state.created.caller,
            'task',
            program.digest_of(task),
            task,
        )
        await self._commit(
            started.target,
            functools.partial(self._decide_accept, task_message),
        )
        _, stream = self._join_request(started.target, 'task')
        final = await _read_final(stream.read())
        spent_tokens = self.programs[started.target].spent_tokens
        output = final.text or f'the sub-agent ended: {final.code}'
        await self._commit_record(
            self._build_step_finished(started, 'ok', output, spent_tokens)
        )
        await self.end(started.target, 'answered')

    def _build_demand(self, program_state, turn, action):
        is_engine = isinstance(action, program.CallEngine)
        remaining_s = self._remaining_s(program_state, turn)
        contract = self._context.get_declaration().contract(
            program_state.created.contract
        )
        priority = contract.priority if contract else 'urgent'
        return grant.Demand(
            service=action.service,
            program_id=program_state.id,
            preferred_server=turns.preferred_server(program_state)
            if is_engine
            else '',
            priority=priority,
            slack_s=-1.0 if remaining_s is None else max(0.0, remaining_s),
            attained_tokens=program_state.spent_tokens,
            prompt_tokens=turns.estimate_prompt_tokens(action)
            if is_engine
            else 0,
            answer_tokens=action.answer_tokens if is_engine else 0,
            suspect=self._context.quarantine.is_suspected(
                turn.accepted.digest, self._context.clock()
            ),
        )

    def _deadline_at_s(self, program_state, turn):
        """Return the deadline of a turn; 0 means none."""
        deadlines = [program_state.created.deadline_at_s]
        contract = self._context.get_declaration().contract(
            program_state.created.contract
        )
        if contract is not None and contract.turn_deadline_s:
            deadlines.append(
                turn.accepted.accepted_at_s + contract.turn_deadline_s
            )
        return min((d for d in deadlines if d), default=0.0)

    def _remaining_s(self, program_state, turn):
        deadline_at_s = self._deadline_at_s(program_state, turn)
        if not deadline_at_s:
            return None
        return deadline_at_s - self._context.clock()

    def _ensure_release(self, program_id):
        if program_id not in self._cleanup_tasks:
            task = asyncio.create_task(self._release_caches(program_id))
            self._cleanup_tasks[program_id] = task
            task.add_done_callback(
                lambda _: self._cleanup_tasks.pop(program_id, None)
            )

    async def _release_caches(self, program_id):
        """Release an ended program's caches until each engine confirms."""
        while program_id in self.programs:
            run_task = self._run_tasks.get(program_id)
            if run_task is not None:
                await asyncio.wait({run_task})
            program_state = self.programs.get(program_id)
            if program_state is None or not program_state.caching_servers:
                return
            for server_name in sorted(program_state.caching_servers):
                await self._release_cache(program_state, server_name)
            if self.programs[program_id].caching_servers:
                await asyncio.sleep(RELEASE_RETRY_INTERVAL_S)

    async def _release_cache(self, program_state, server_name):
        server = self._context.get_declaration().server(server_name)
        if server is not None:
            try:
                await self._context.backends.release(server, program_state.id)
            except errors.BackendFailed as error:
                logging.debug('owner: releasing a cache failed: %s', error)
                return
            held_grant = grant.HeldGrant(server, uuid.uuid4().hex)
            await self._context.grants.return_grant(
                held_grant, program_state.id, 0, ended=True
            )
        await self._commit_record(
            records.CacheReleased(program_state.id, server_name)
        )


def _journal_unavailable(ran):
    return errors.Refused(
        'journal_unavailable',
        503,
        'too few journals',
        ran,
        ownership.JOURNAL_RETRY_AFTER_S,
    )


def request_program_id(message: messages.ServiceRequest) -> str:
    """Return the id of the program that stands for a plain request."""
    digest = program.digest_of(
        message.caller, message.service, message.request_id
    )
    return f'request-{digest}'


def _decide_create(created, program_state):
    if program_state is None:
        return [created]
    expected = dataclasses.replace(
        created,
        created_at_s=program_state.created.created_at_s,
        deadline_at_s=program_state.created.deadline_at_s,
    )
    if expected != program_state.created:
        raise errors.Refused(
            'program_exists', 409, 'the program exists with other terms'
        )
    return []


def _decide_create_request(created, program_state):
    return [created] if program_state is None else []


def _decide_create_agent(created, program_state):
    return [created] if program_state is None else []


async def _read_final(stream):
    async for event in stream:
        if isinstance(event, messages.AnswerFinal):
            return event
    raise errors.OutOfOrder('an answer stream ended without a final event')
