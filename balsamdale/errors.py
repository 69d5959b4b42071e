"""Access to every exception that balsamdale raises.

Each error keeps its data as fields, so that a handler never parses text.
"""

__all__ = [
    'BalsamdaleError',
    'DecommissionInProgress',
    'CallerDisconnected',
    'ValidationFailed',
    'CorruptRecord',
    'JournalError',
    'JournalGap',
    'KeyValueError',
    'KeyValueUnavailable',
    'LinkError',
    'LinkTimeout',
    'RevisionCompacted',
    'LeaseEnded',
    'NoQuorum',
    'NoSuchTurn',
    'NotOwner',
    'OutOfOrder',
    'RemoteError',
    'Refused',
    'StaleEpoch',
    'BackendFailed',
    'UnknownMessage',
    'DataFolderMismatch',
]


class BalsamdaleError(Exception):
    """Base of every error of this package."""


class ValidationFailed(BalsamdaleError):
    """Settings or a declaration hold mistakes.

    Attributes:
        findings: every mistake, each with its place.
    """

    def __init__(self, findings):
        super().__init__('\n'.join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class KeyValueError(BalsamdaleError):
    """The platform's key-value service rejected a call."""


class KeyValueUnavailable(KeyValueError):
    """The key-value service did not answer.

    Attributes:
        maybe_applied: whether a write may have taken effect.
    """

    def __init__(self, detail, maybe_applied):
        super().__init__(detail)
        self.maybe_applied = maybe_applied


class RevisionCompacted(KeyValueError):
    """The changes asked for are no longer kept; read the keys anew."""


class LeaseEnded(KeyValueError):
    """The lease named has ended, and its keys with it."""


class JournalError(BalsamdaleError):
    """A journal refused an operation."""


class StaleEpoch(JournalError):
    """The journal has promised a higher epoch to another owner.

    Attributes:
        shard: shard number.
        held_epoch: the epoch that the journal holds.
    """

    def __init__(self, shard, held_epoch):
        super().__init__(f'shard {shard} is held at epoch {held_epoch}')
        self.shard = shard
        self.held_epoch = held_epoch


class JournalGap(JournalError):
    """The records offered do not join the log.

    Attributes:
        shard: shard number.
        length: records up to which the log may still agree.
    """

    def __init__(self, shard, length):
        super().__init__(f'shard {shard} agrees up to record {length} at most')
        self.shard = shard
        self.length = length


class CorruptRecord(JournalError):
    """A stored record fails its checksum, order or hash.

    Attributes:
        path: file that holds the record.
        offset_bytes: start of the record in the file.
    """

    def __init__(self, path, offset_bytes, detail):
        super().__init__(f'{path}, byte {offset_bytes}: {detail}')
        self.path = path
        self.offset_bytes = offset_bytes


class DataFolderMismatch(JournalError):
    """The message names another data folder than the one present.

    Attributes:
        folder_id: identity of the folder that is present.
    """

    def __init__(self, folder_id):
        super().__init__(f'the data folder here is {folder_id}')
        self.folder_id = folder_id


class LinkError(BalsamdaleError):
    """A message to another instance failed."""


class LinkTimeout(LinkError):
    """No reply came in time; the peer may have acted.

    Attributes:
        peer_id: instance that was asked.
    """

    def __init__(self, peer_id, message_name):
        super().__init__(f'{peer_id} did not answer {message_name}')
        self.peer_id = peer_id


class RemoteError(LinkError):
    """The peer's handler failed unexpectedly.

    Attributes:
        name: name of the error class on the peer.
    """

    def __init__(self, name, detail):
        super().__init__(f'{name}: {detail}')
        self.name = name


class UnknownMessage(LinkError):
    """A frame carries a version or type that is not known here."""


class DecommissionInProgress(BalsamdaleError):
    """The archive is being emptied and takes no further records."""


class NoQuorum(BalsamdaleError):
    """Too few archives answered.

    Attributes:
        answered: archives that did.
        needed: archives that must.
    """

    def __init__(self, answered, needed):
        super().__init__(f'{answered} of {needed} archives answered')
        self.answered = answered
        self.needed = needed


class NoSuchTurn(BalsamdaleError):
    """No archive holds a turn, and enough of them are sure.

    Attributes:
        turn_id: the turn asked for.
    """

    def __init__(self, turn_id):
        super().__init__(f'no turn {turn_id!r}')
        self.turn_id = turn_id


class NotOwner(BalsamdaleError):
    """This instance does not own the shard.

    Attributes:
        shard: shard number.
        owner_id: the owner as far as known, or an empty string.
    """

    def __init__(self, shard, owner_id):
        super().__init__(f'shard {shard} belongs to {owner_id or "nobody"}')
        self.shard = shard
        self.owner_id = owner_id


class OutOfOrder(BalsamdaleError):
    """A record does not follow from the program's state."""


class BackendFailed(BalsamdaleError):
    """A backend server did not complete a request.

    Attributes:
        server: name of the backend server.
        ran: 'no', 'yes' or 'unknown'.
        crashed: whether the server died with the request in flight.
    """

    def __init__(self, server, ran, detail, crashed=False):
        super().__init__(f'{server}: {detail}')
        self.server = server
        self.ran = ran
        self.crashed = crashed


class CallerDisconnected(BalsamdaleError):
    """The caller closed its connection before its answer was whole."""


class Refused(BalsamdaleError):
    """A caller's request is answered with a refusal.

    Attributes:
        code: stable code for programs to read.
        status: HTTP status.
        ran: 'no', 'yes' or 'unknown'.
        retry_after_s: seconds after which to come back; None is never.
    """

    def __init__(self, code, status, detail, ran='no', retry_after_s=None):
        super().__init__(detail)
        self.code = code
        self.status = status
        self.detail = detail
        self.ran = ran
        self.retry_after_s = retry_after_s
