"""Message handlers of the owner of programs.

They serve the messages that an entry sends for its callers.
"""

from balsamdale import errors
from balsamdale import link
from balsamdale import messages
from balsamdale import owner
from balsamdale import ownership
from balsamdale import placement
from balsamdale import program

__all__ = ['Endpoint']


class Endpoint:
    """Serves the programs of this instance to its peers.

    Args:
        links: connections to peers.
        own_shards: the shards of this instance.
        programs: the programs of those shards.
    """

    def __init__(
        self,
        links: link.Links,
        own_shards: ownership.Ownership,
        programs: owner.Owner,
    ):
        self._ownership = own_shards
        self._owner = programs
        self.is_leaving = False
        links.serve(messages.CreateProgram, self._create)
        links.serve(messages.SubmitTurn, self._submit)
        links.serve(messages.ServiceRequest, self._request)
        links.serve(messages.FetchTurn, self._fetch_turn)
        links.serve(messages.FetchProgram, self._fetch_program)
        links.serve(messages.EndProgram, self._end)
        links.serve(messages.ListPrograms, self._list)
        links.serve(messages.BurnRequest, self._burn)

    async def _create(self, _sender, message):
        async for reply in self._serve(
            message.program_id, self._run_create(message)
        ):
            yield reply

    async def _run_create(self, message):
        await self._owner.create(message)
        yield messages.Ok()

    async def _submit(self, _sender, message):
        async for reply in self._serve(
            message.program_id, self._run_submit(message)
        ):
            yield reply

    async def _run_submit(self, message):
        _, stream = await self._owner.submit(message)
        async for event in stream.read(message.offset, message.step):
            yield event

    async def _request(self, _sender, message):
        program_id = owner.request_program_id(message)
        async for reply in self._serve(program_id, self._run_request(message)):
            yield reply

    async def _run_request(self, message):
        _, stream = await self._owner.request(message)
        async for event in stream.read():
            yield event

    async def _fetch_turn(self, _sender, message):
        async for reply in self._serve(
            message.program_id, self._run_fetch(message)
        ):
            yield reply

    async def _run_fetch(self, message):
        stream = self._owner.join_turn(message.program_id, message.turn)
        async for event in stream.read(message.offset, message.step):
            yield event

    async def _fetch_program(self, _sender, message):
        async for reply in self._serve(
            message.program_id, self._run_view(message)
        ):
            yield reply

    async def _run_view(self, message):
        await self._ownership.confirm(placement.shard_of(message.program_id))
        yield self._program_view(self._owner.find(message.program_id))

    async def _end(self, _sender, message):
        async for reply in self._serve(
            message.program_id, self._run_end(message)
        ):
            yield reply

    async def _run_end(self, message):
        self._owner.find(message.program_id)
        await self._owner.end(message.program_id, 'caller')
        yield messages.Ok()

    async def _list(self, _sender, _message):
        summaries = (
            self._summarize(program_state)
            for program_state in self._owner.programs.values()
            if program_state.ended is None
        )
        yield messages.ProgramList(tuple(summaries))

    async def _burn(self, _sender, _message):
        yield messages.BurnCounts(self._owner.burn_counts())

    async def _serve(self, program_id, replies):
        """Open the program's shard and send errors as replies."""
        number = placement.shard_of(program_id)
        try:
            if self.is_leaving and not self._ownership.is_serving(number):
                raise errors.NotOwner(number, '')
            await self._ownership.open(number)
            async for reply in self._confirm_refusals(number, replies):
                yield reply
        except errors.NotOwner as error:
            yield messages.NotOwnerReply(number, error.owner_id)
        except errors.KeyValueUnavailable as error:
            yield messages.Refusal(
                'platform_unavailable', 503, str(error), 'no', 2.0
            )
        except errors.Refused as refused:
            yield _refusal(refused)
        finally:
            await replies.aclose()

    async def _confirm_refusals(self, number, replies):
        """Confirm the ownership before a refusal that says "not run"."""
        try:
            async for reply in replies:
                yield reply
        except errors.Refused as refused:
            if refused.ran == 'no':
                await self._ownership.confirm(number)
            raise

    def _find_shard(self, program_id):
        number = placement.shard_of(program_id)
        return next(
            s for s in self._ownership.served_shards if s.number == number
        )

    def _summarize(self, program_state):
        return messages.ProgramSummary(
            program_id=program_state.id,
            caller=program_state.created.caller,
            contract=program_state.created.contract,
            turns=len(program_state.turns),
            spent_tokens=program_state.spent_tokens,
            budget_tokens=program_state.created.budget_tokens,
            copies=self._ownership.count_in_sync(
                placement.shard_of(program_state.id)
            ),
            waiting_for=self._owner.waiting_for.get(program_state.id, ''),
        )

    def _program_view(self, program_state):
        shard = self._find_shard(program_state.id)
        return messages.ProgramView(
            program_id=program_state.id,
            caller=program_state.created.caller,
            contract=program_state.created.contract,
            owner_id=shard.instance_id,
            shard=shard.number,
            epoch=shard.epoch,
            copies=self._ownership.count_in_sync(shard.number),
            budget_tokens=program_state.created.budget_tokens,
            spent_tokens=program_state.spent_tokens,
            reserved_tokens=program_state.reserved_tokens,
            ended_reason=program_state.ended.reason
            if program_state.ended
            else '',
            waiting_for=self._owner.waiting_for.get(program_state.id, ''),
            turns=tuple(_turn_view(turn) for turn in program_state.turns),
        )


def _refusal(refused):
    return messages.Refusal(
        refused.code,
        refused.status,
        refused.detail,
        refused.ran,
        refused.retry_after_s,
    )


def _turn_view(turn: program.Turn) -> messages.TurnView:
    answer = turn.answer
    return messages.TurnView(
        turn=turn.accepted.turn,
        request_id=turn.accepted.request_id,
        text=turn.accepted.text,
        outcome=answer.outcome if answer else '',
        code=answer.code if answer else '',
        answer=answer.text if answer else '',
        steps=tuple(_step_line(step) for step in turn.steps),
        accepted_at_s=turn.accepted.accepted_at_s,
        finished_at_s=answer.finished_at_s if answer else 0.0,
    )


def _step_line(step):
    started = step.started
    outcome = step.finished.outcome if step.finished else 'open'
    return f'{started.kind} {started.target} {started.server} {outcome}'
