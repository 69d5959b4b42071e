"""Access to an owner's programs for other instances.

Answers the messages that an entry sends on behalf of callers.
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
    """Message handlers of one owner.

    Args:
        links: where the messages come from.
        owned: the shards of this instance.
        programs: the programs of those shards.
    """

    def __init__(
        self,
        links: link.Links,
        owned: ownership.Ownership,
        programs: owner.Owner,
    ):
        self._owned = owned
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
        async for reply in self._guard(
            message.program_id, self._run_create(message)
        ):
            yield reply

    async def _run_create(self, message):
        await self._owner.create(message)
        yield messages.Ok()

    async def _submit(self, _sender, message):
        async for reply in self._guard(
            message.program_id, self._run_submit(message)
        ):
            yield reply

    async def _run_submit(self, message):
        _, stream = await self._owner.submit(message)
        async for event in stream.read(message.offset, message.step):
            yield event

    async def _request(self, _sender, message):
        program_id = owner.request_program_id(message)
        async for reply in self._guard(program_id, self._run_request(message)):
            yield reply

    async def _run_request(self, message):
        _, stream = await self._owner.request(message)
        async for event in stream.read():
            yield event

    async def _fetch_turn(self, _sender, message):
        async for reply in self._guard(
            message.program_id, self._run_fetch(message)
        ):
            yield reply

    async def _run_fetch(self, message):
        stream = self._owner.join_turn(message.program_id, message.turn)
        async for event in stream.read(message.offset, message.step):
            yield event

    async def _fetch_program(self, _sender, message):
        async for reply in self._guard(
            message.program_id, self._run_view(message)
        ):
            yield reply

    async def _run_view(self, message):
        await self._owned.confirm(placement.shard_of(message.program_id))
        yield self._view(self._owner.find(message.program_id))

    async def _end(self, _sender, message):
        async for reply in self._guard(
            message.program_id, self._run_end(message)
        ):
            yield reply

    async def _run_end(self, message):
        self._owner.find(message.program_id)
        await self._owner.end(message.program_id, 'caller')
        yield messages.Ok()

    async def _list(self, _sender, _message):
        rows = (
            self._summary(held)
            for held in self._owner.programs.values()
            if held.ended is None
        )
        yield messages.ProgramList(tuple(rows))

    async def _burn(self, _sender, _message):
        yield messages.BurnCounts(self._owner.burn_counts())

    async def _guard(self, program_id, replies):
        """Open the program's shard and turn errors into replies."""
        number = placement.shard_of(program_id)
        try:
            if self.is_leaving and not self._owned.is_serving(number):
                raise errors.NotOwner(number, '')
            await self._owned.open(number)
            async for reply in self._confirmed(number, replies):
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

    async def _confirmed(self, number, replies):
        """Confirm the ownership before a refusal claims "not run"."""
        try:
            async for reply in replies:
                yield reply
        except errors.Refused as refused:
            if refused.ran == 'no':
                await self._owned.confirm(number)
            raise

    def _shard(self, program_id):
        number = placement.shard_of(program_id)
        return next(s for s in self._owned.served_shards if s.number == number)

    def _summary(self, held):
        return messages.ProgramSummary(
            program_id=held.id,
            caller=held.created.caller,
            contract=held.created.contract,
            turns=len(held.turns),
            spent_tokens=held.spent_tokens,
            budget_tokens=held.created.budget_tokens,
            copies=self._owned.count_in_sync(placement.shard_of(held.id)),
            waiting_for=self._owner.waiting_for.get(held.id, ''),
        )

    def _view(self, held):
        shard = self._shard(held.id)
        return messages.ProgramView(
            program_id=held.id,
            caller=held.created.caller,
            contract=held.created.contract,
            owner_id=shard.instance_id,
            shard=shard.number,
            epoch=shard.epoch,
            copies=self._owned.count_in_sync(shard.number),
            budget_tokens=held.created.budget_tokens,
            spent_tokens=held.spent_tokens,
            reserved_tokens=held.reserved_tokens,
            ended_reason=held.ended.reason if held.ended else '',
            waiting_for=self._owner.waiting_for.get(held.id, ''),
            turns=tuple(_turn_view(turn) for turn in held.turns),
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
    ready = turn.answer
    return messages.TurnView(
        turn=turn.accepted.turn,
        request_id=turn.accepted.request_id,
        text=turn.accepted.text,
        outcome=ready.outcome if ready else '',
        code=ready.code if ready else '',
        answer=ready.text if ready else '',
        steps=tuple(_step_line(step) for step in turn.steps),
        accepted_at_s=turn.accepted.accepted_at_s,
        finished_at_s=ready.finished_at_s if ready else 0.0,
    )


def _step_line(step):
    started = step.started
    outcome = step.finished.outcome if step.finished else 'open'
    return f'{started.kind} {started.target} {started.server} {outcome}'
