"""Exceptions that this package raises.

Each keeps its data in attributes, so that no handler has to parse text.
"""

__all__ = [
    'ArchiveClosed',
    'ArchiveWriteFailed',
    'BackendFailed',
    'BalsamdaleError',
    'CallerDisconnected',
    'CorruptRecord',
    'DataFolderMismatch',
    'HelperFailed',
    'JournalError',
    'JournalGap',
    'KeyValueError',
    'KeyValueUnavailable',
    'LeaseEnded',
    'LinkError',
    'LinkTimeout',
    'NoQuorum',
    'NoSuchTurn',
    'NotOwner',
    'OutOfOrder',
    'PathLost',
    'ProtocolError',
    'Refused',
    'RemoteError',
    'RequestMalformed',
    'RevisionCompacted',
    'StaleEpoch',
    'UnknownMessage',
    'ValidationFailed',
]


class BalsamdaleError(Exception):
    """Base class of the errors of this package."""


class ValidationFailed(BalsamdaleError):
    """Settings, a declaration, a route table or a registration is invalid.

    Attributes:
        findings: every mistake with its place.
    """

    def __init__(self, findings):
        super().__init__('\n'.join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class KeyValueError(BalsamdaleError):
    """The platform's key-value service rejected a call or failed."""


class KeyValueUnavailable(KeyValueError):
    """The key-value service could not be reached or did not reply.

    Attributes:
        maybe_applied: whether a write may have taken effect.
    """

    def __init__(self, detail, maybe_applied):
        super().__init__(detail)
        self.maybe_applied = maybe_applied


class RevisionCompacted(KeyValueError):
    """The key-value service compacted these revisions; read all keys again."""


class LeaseEnded(KeyValueError):
    """The lease has ended, and its keys were removed with it."""


class JournalError(BalsamdaleError):
    """A journal rejected an operation or holds a corrupt record."""


class StaleEpoch(JournalError):
    """The journal has promised a higher epoch to another owner.

    Attributes:
        shard: shard number.
        held_epoch: the epoch that the journal has promised.
    """

    def __init__(self, shard, held_epoch):
        super().__init__(f'shard {shard} is held at epoch {held_epoch}')
        self.shard = shard
        self.held_epoch = held_epoch


class JournalGap(JournalError):
    """The appended records do not continue the log.

    Attributes:
        shard: shard number.
        length: number of records up to which the logs may agree.
    """

    def __init__(self, shard, length):
        super().__init__(
            f'shard {shard}: the logs agree on at most {length} records'
        )
        self.shard = shard
        self.length = length


class CorruptRecord(JournalError):
    """A stored record fails its checksum, order or hash.

    Attributes:
        path: path of the file that holds the record.
        offset_bytes: offset of the record in the file.
    """

    def __init__(self, path, offset_bytes, detail):
        super().__init__(f'{path}, byte {offset_bytes}: {detail}')
        self.path = path
        self.offset_bytes = offset_bytes


class DataFolderMismatch(JournalError):
    """A message names another data folder than this instance has.

    Attributes:
        folder_id: identity of the data folder that this instance has.
    """

    def __init__(self, folder_id):
        super().__init__(f'the data folder of this instance is {folder_id}')
        self.folder_id = folder_id


class LinkError(BalsamdaleError):
    """A request to a peer failed."""


class LinkTimeout(LinkError):
    """No reply arrived in time; the peer may have handled the request.

    Attributes:
        peer_id: instance that the request was sent to.
    """

    def __init__(self, peer_id, message_name):
        super().__init__(f'{peer_id} did not answer {message_name}')
        self.peer_id = peer_id


class RemoteError(LinkError):
    """The handler of a request failed on the peer.

    Attributes:
        name: name of the error class on the peer.
    """

    def __init__(self, name, detail):
        super().__init__(f'{name}: {detail}')
        self.name = name


class ProtocolError(LinkError):
    """The other end of a connection broke the protocol of the link."""


class UnknownMessage(LinkError):
    """A frame is malformed, or its version or type is unknown."""


class ChainIncomplete(LinkError):
    """A folder has a turn, but lacks a part of its chain.

    Attributes:
        peer_id: instance that serves the folder.
        missing_id: the turn that it lacks.
    """

    def __init__(self, peer_id, missing_id):
        super().__init__(f'{peer_id} lacks turn {missing_id!r} of a chain')
        self.peer_id = peer_id
        self.missing_id = missing_id


class ArchiveClosed(BalsamdaleError):
    """The archive is being decommissioned and accepts no new records."""


class ArchiveWriteFailed(BalsamdaleError):
    """The disk refused records or a sync: they are not durable."""


class NoQuorum(BalsamdaleError):
    """Too few archives are known, replied or are in sync for a quorum.

    Attributes:
        replied: archives that count: those known if they are too few, else
            those that acknowledged a write or sent an in-sync reply.
        needed: size of the write quorum or read quorum.
    """

    def __init__(self, replied, needed):
        super().__init__(
            f'a quorum needs {needed} usable archives; there are {replied}'
        )
        self.replied = replied
        self.needed = needed


class NoSuchTurn(BalsamdaleError):
    """A read quorum of archives proves that a turn is not stored.

    Attributes:
        turn_id: the turn that was asked for.
    """

    def __init__(self, turn_id):
        super().__init__(f'no turn {turn_id!r}')
        self.turn_id = turn_id


class NotOwner(BalsamdaleError):
    """This instance does not own the shard.

    Attributes:
        shard: shard number.
        owner_id: the last known owner, or an empty string.
    """

    def __init__(self, shard, owner_id):
        super().__init__(f'shard {shard} is owned by {owner_id or "nobody"}')
        self.shard = shard
        self.owner_id = owner_id


class OutOfOrder(BalsamdaleError):
    """A record or event does not follow from a program's state."""


class BackendFailed(BalsamdaleError):
    """A backend server did not complete a request.

    Attributes:
        server: name of the backend server.
        ran: 'no', 'yes' or 'unknown'.
        crashed: whether the server crashed, or accepts no connections.
    """

    def __init__(self, server, ran, detail, crashed=False):
        super().__init__(f'{server}: {detail}')
        self.server = server
        self.ran = ran
        self.crashed = crashed


class ServerSilent(BackendFailed):
    """A server stopped answering; it may be down, or suspended."""


class PathLost(BackendFailed):
    """This instance lost its path to a server that others reach."""


class HelperFailed(BackendFailed):
    """The instance that sent a request for this one did not reply in order.

    The server may have run the request.
    """


class CallerDisconnected(BalsamdaleError):
    """The caller closed its connection before its response was complete."""


class RequestMalformed(BalsamdaleError):
    """What a client sent is no request, or one outside the limits.

    Attributes:
        status: HTTP status of the answer.
    """

    def __init__(self, status, detail):
        super().__init__(detail)
        self.status = status


class ResponseMalformed(BalsamdaleError):
    """What a server sent is no response."""


class Refused(BalsamdaleError):
    """A caller's request is refused.

    Attributes:
        code: stable code that callers' software may match.
        status: HTTP status.
        detail: explanation for people.
        ran: whether anything of it ran: 'no', 'yes' or 'unknown'.
        retry_after_s: seconds after which a retry may succeed; None if
            none will.
    """

    def __init__(self, code, status, detail, ran='no', retry_after_s=None):
        super().__init__(detail)
        self.code = code
        self.status = status
        self.detail = detail
        self.ran = ran
        self.retry_after_s = retry_after_s
