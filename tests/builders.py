"""Builders of records and messages for tests."""

from balsamdale import codec
from balsamdale import declaration
from balsamdale import journal
from balsamdale import placement
from balsamdale import records
from harness import fleet

NOW_S = 1_000_000.0


def entries(epoch: int, count: int, start: int = 0, before=()) -> tuple:
    """Return consecutive log entries of one epoch."""
    log = list(before)
    for index in range(start, start + count):
        body = codec.encode(records.ProgramEnded('p', f'{epoch}-{index}', 0))
        log.append(journal.next_entry(log, epoch, 'p', body))
    return tuple(log[len(before) :])


def folders(count: int = 3) -> tuple[placement.DataFolder, ...]:
    """Return data folders, each in its own failure domain."""
    return tuple(
        placement.DataFolder(f'folder-{i}', f'disk-{i}', f'domain-{i}')
        for i in range(count)
    )


def declared(name: str = 'pollenwacht') -> declaration.Declaration:
    """Return an example's declaration."""
    return declaration.load(str(fleet.EXAMPLES / f'{name}.toml'))


def created(**changes) -> records.ProgramCreated:
    """Return the record of a new program."""
    fields = {
        'program_id': 'p',
        'caller': 'c',
        'service': 'forecast',
        'contract': 'follow-up',
        'budget_tokens': 10000,
        'deadline_at_s': 0.0,
        'created_at_s': NOW_S,
    }
    return records.ProgramCreated(**{**fields, **changes})


def accepted(turn: int = 0, text: str = 'hello') -> records.CallAccepted:
    """Return the record of a call."""
    return records.CallAccepted('p', turn, f'r{turn}', 'd', text, NOW_S)


def started(step: int = 0, **changes) -> records.StepStarted:
    """Return the record of a step's start."""
    fields = {
        'program_id': 'p',
        'turn': 0,
        'step': step,
        'kind': 'engine',
        'target': 'forecast',
        'server': 'forecast-1',
        'call_id': '',
        'digest': '',
        'idempotent': True,
        'reserved_tokens': 600,
        'started_at_s': NOW_S,
    }
    return records.StepStarted(**{**fields, **changes})


def finished(step: int = 0, **changes) -> records.StepFinished:
    """Return the record of a step's outcome."""
    fields = {
        'program_id': 'p',
        'turn': 0,
        'step': step,
        'outcome': 'ok',
        'output': 'text',
        'tool_calls': (),
        'prompt_tokens': 10,
        'answer_tokens': 5,
        'cached_tokens': 0,
        'charged_tokens': 15,
        'finished_at_s': NOW_S,
    }
    return records.StepFinished(**{**fields, **changes})
