"""Bytes that a faulty server sends, and what is to become of them.

Source: RFC 9110 and RFC 9112.
"""

import dataclasses

__all__ = ['ANSWERS', 'NO_ANSWERS', 'Sent', 'chunked', 'head']


@dataclasses.dataclass(frozen=True)
class Sent:
    """What a server sends for one request.

    Attributes:
        name: of the case.
        data: the bytes; {id} stands for the request's id, and {seal} for the
            field that signs a response.
        status: status that the caller gets; 0 if it is no answer.
        body: body that the caller gets.
    """

    name: str
    data: bytes
    status: int = 0
    body: bytes = b''


def head(
    *fields, line='HTTP/1.1 200 OK', body=b'ok', length='Content-Length: 2'
):
    """Return a response with a line of its own and further fields."""
    lines = [line, 'X-Request-Id: {id}', '{seal}', *fields]
    if length:
        lines.append(length)
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def chunked(body, *fields, **options):
    """Return a response in chunks, given as they are sent."""
    return head(
        'Transfer-Encoding: chunked', *fields, length='', body=body, **options
    )


def _none(name, data):
    return Sent(name, data)


def _lines():
    for line in (
        'HTTP/1.1 000 OK',
        'HTTP/1.1 001 OK',
        'HTTP/1.1 099 OK',
        'HTTP/1.1 600 OK',
        'HTTP/1.1 999 OK',
        'HTTP/1.1 20 OK',
        'HTTP/1.1 2000 OK',
        'HTTP/1.1 +20 OK',
        'HTTP/1.1 2x0 OK',
        'HTTP/1.1 -1 OK',
        'HTTP/1.1 200',
        'HTTP/1.1  200 OK',
        'HTTP/1.1\t200 OK',
        ' HTTP/1.1 200 OK',
        'HTTP/1.1 200 O\x00K',
        'HTTP/1.1 200 O\x1bK',
        'HTTP/1.1 200 O\x7fK',
        'HTTP/1.1 101 Switching Protocols',
        'HTTP/0.9 200 OK',
        'HTTP/2.0 200 OK',
        'HTTP/2 200 OK',
        'HTTP/3.0 200 OK',
        'HTTP/1 200 OK',
        'HTTP/1.10 200 OK',
        'HTTP/01.1 200 OK',
        'http/1.1 200 OK',
        'HTTPS/1.1 200 OK',
        'ICY 200 OK',
        'GET / HTTP/1.1',
        '\r\nHTTP/1.1 200 OK',
        '',
        '<html>no head</html>',
        '\x16\x03\x01\x02\x00',
    ):
        yield _none(f'line {line!r}', head(line=line))
    yield _none(
        'line of 101 with an upgrade',
        head(
            'Connection: Upgrade',
            'Upgrade: websocket',
            line='HTTP/1.1 101 Switching Protocols',
        ),
    )
    yield _none('no head', b'these bytes are no head at all\r\n\r\n')
    yield _none('body alone', b'{"a": 1}\r\n\r\nmore of it\r\n\r\n')
    yield _none('line feeds alone', head().replace(b'\r\n', b'\n'))
    yield _none('one line feed', head('X: y').replace(b'y\r\n', b'y\n'))
    yield _none('carriage return alone', head('X: y\rZ: w'))
    yield _none('two carriage returns', head('X: y\r'))


def _fields():
    for field in (
        'X Y: z',
        'X : z',
        'X\t: z',
        ' X: z',
        '\tX: z',
        'X: z\r\n folded',
        'X: z\r\n\tfolded',
        'X',
        ':',
        ': z',
        'X(Y): z',
        'X@Y: z',
        'X,Y: z',
        'X/Y: z',
        'X"Y: z',
        'X{Y: z',
        'X\x00Y: z',
        'X\x01Y: z',
        'X\x1fY: z',
        'X\x7fY: z',
        'X\x80Y: z',
        'X\xe9: z',
        'X: a\x00b',
        'X: a\x01b',
        'X: a\x08b',
        'X: a\x0bb',
        'X: a\x0cb',
        'X: a\x1bb',
        'X: a\x7fb',
        'X-Request-Id: another',
    ):
        yield _none(f'field {field!r}', head(field))
    yield _none('too many fields', head(*['X: y'] * 200))
    yield _none('a long field', head('X: ' + 'y' * 70000))
    yield _none('a long line', head(line='HTTP/1.1 200 ' + 'y' * 70000))


def _lengths():
    for length in (
        'Content-Length: -2',
        'Content-Length: +2',
        'Content-Length: 0x2',
        'Content-Length: 2.0',
        'Content-Length: 2 2',
        'Content-Length: two',
        'Content-Length:',
        'Content-Length: 2, 3',
        'Content-Length: 2;3',
        'Content-Length: 2\r\nContent-Length: 3',
        'Content-Length: 99999999999999999999',
        'Content-Length : 2',
        'Content-Length: 2\r\nTransfer-Encoding: chunked',
        'Content-Length: 2\r\nTransfer-Encoding: identity',
        'Content-Length: 2\r\nTransfer-Encoding:',
    ):
        yield _none(f'length {length!r}', head(length=length))
    yield _none('body cut', head(length='Content-Length: 3'))
    yield _none('body of 204', head(line='HTTP/1.1 204 No Content'))
    for line in ('HTTP/1.1 204 None', 'HTTP/1.1 100 Continue'):
        yield _none(
            f'chunks behind {line!r}',
            chunked(b'2\r\nok\r\n0\r\n\r\n', line=line),
        )


def _codings():
    whole = b'2\r\nok\r\n0\r\n\r\n'
    for coding in (
        'gzip',
        'gzip, chunked',
        'chunked, gzip',
        'chunked, chunked',
        'identity',
        'chunked;q=1',
        'xchunked',
        'chunked x',
        '"chunked"',
        '',
        'chunked\r\nTransfer-Encoding: chunked',
        'chunked\r\nTransfer-Encoding: gzip',
    ):
        yield _none(
            f'coding {coding!r}',
            head(f'Transfer-Encoding: {coding}', length='', body=whole),
        )
    yield _none('chunks in 1.0', chunked(whole, line='HTTP/1.0 200 OK'))
    for coding in ('gzip', 'br', 'deflate', 'x', 'identity', 'gzip, identity'):
        yield _none(f'content {coding!r}', head(f'Content-Encoding: {coding}'))
    for body in (
        b'2\nok\n0\n\n',
        b'-2\r\nok\r\n0\r\n\r\n',
        b'+2\r\nok\r\n0\r\n\r\n',
        b'0x2\r\nok\r\n0\r\n\r\n',
        b' 2\r\nok\r\n0\r\n\r\n',
        b'2 \r\nok\r\n0\r\n\r\n',
        b'2_0\r\nok\r\n0\r\n\r\n',
        b'\r\n2\r\nok\r\n0\r\n\r\n',
        b'2\r\nok0\r\n\r\n',
        b'2\r\nokay\r\n0\r\n\r\n',
        b'3\r\nok\r\n0\r\n\r\n',
        b'2\r\nok\r\n',
        b'2\r\nok\r\n0\r\n',
        b'2\r\nok\r\n0\r\n\n',
        b'2\r\nok\r\n\r\n',
        b'2;\r\nok\r\n0\r\n\r\n',
        b'2;a b\r\nok\r\n0\r\n\r\n',
        b'2;a=\x01\r\nok\r\n0\r\n\r\n',
        b'2;a="x\r\nok\r\n0\r\n\r\n',
        b'2\r\nok\r\n0\r\nX Y: z\r\n\r\n',
        b'2\r\nok\r\n0\r\nno field\r\n\r\n',
        b'2\r\nok\r\n0\r\n X: z\r\n\r\n',
        b'2\r\nok\r\n0\r\nX: a\x00b\r\n\r\n',
        b'11111111111111111\r\nok\r\n0\r\n\r\n',
        b'g\r\nok\r\n0\r\n\r\n',
        b'ok',
        b'',
    ):
        yield _none(f'chunks {body!r}', chunked(body))


def _answers():
    yield Sent('plain', head(), 200, b'ok')
    for status in (200, 201, 299, 400, 404, 418, 499, 500, 599):
        yield Sent(
            f'status {status}',
            head(line=f'HTTP/1.1 {status} Any reason'),
            status,
            b'ok',
        )
    yield Sent('no reason', head(line='HTTP/1.1 200 '), 200, b'ok')
    yield Sent('odd reason', head(line='HTTP/1.1 200 \t\xe9!'), 200, b'ok')
    yield Sent('HTTP/1.0', head(line='HTTP/1.0 200 OK'), 200, b'ok')
    yield Sent('higher minor', head(line='HTTP/1.2 200 OK'), 200, b'ok')
    for field in (
        'x:',
        'X:y',
        'X: \t y \t ',
        "!#$%&'*+-.^_`|~09Az: z",
        'X: "a, b"; c=\\',
        'X: caf\xc3\xa9',
        'X: caf\xe9',
        'Upgrade: websocket\r\nConnection: Upgrade',
        'Connection: close',
        'Vary: *\r\nVary: X',
        'X: ' + 'y' * 8000,
        '\r\n'.join(['X: y'] * 100),
    ):
        yield Sent(f'field {field[:40]!r}', head(field), 200, b'ok')
    for length in (
        'content-length:2',
        'CONTENT-LENGTH: \t 2 ',
        'Content-Length: 02',
        'Content-Length: 2\r\nContent-Length: 2',
        'Content-Length: 2, 2',
        'Content-Length: 2,',
    ):
        yield Sent(f'length {length!r}', head(length=length), 200, b'ok')
    yield Sent('until the end', head(length=''), 200, b'ok')
    yield Sent('nothing', head(length='Content-Length: 0', body=b''), 200, b'')
    for body in (
        b'2\r\nok\r\n0\r\n\r\n',
        b'1\r\no\r\n1\r\nk\r\n0\r\n\r\n',
        b'0002\r\nok\r\n000\r\n\r\n',
        b'2;a\r\nok\r\n0;b=c\r\n\r\n',
        b'2 ; a = "\\"x;y"\r\nok\r\n0\r\n\r\n',
        b'2\r\nok\r\n0\r\nX: y\r\nZ:\r\n\r\n',
    ):
        yield Sent(f'chunks {body!r}', chunked(body), 200, b'ok')
    for coding in ('Chunked', 'CHUNKED', 'chunked,', ', chunked'):
        yield Sent(
            f'coding {coding!r}',
            head(
                f'Transfer-Encoding: {coding}',
                length='',
                body=b'2\r\nok\r\n0\r\n\r\n',
            ),
            200,
            b'ok',
        )
    for line in (
        'HTTP/1.1 100 Continue',
        'HTTP/1.1 102 Processing',
        'HTTP/1.1 103 Early Hints\r\nLink: </x>',
        'HTTP/1.1 199 Any',
    ):
        interim = line.encode() + b'\r\n\r\n'
        yield Sent(f'behind {line!r}', 3 * interim + head(), 200, b'ok')
    yield Sent(
        '204',
        head(line='HTTP/1.1 204 None', length='', body=b''),
        204,
        b'',
    )
    yield Sent(
        '204 of no length',
        head(line='HTTP/1.1 204 None', length='Content-Length: 0', body=b''),
        204,
        b'',
    )
    yield Sent(
        '304 of a length',
        head(line='HTTP/1.1 304 Not Modified', body=b''),
        304,
        b'',
    )
    for more in (b'HTTP/1.1 200 OK\r\n\r\n', b'\x00' * 9, b'more', b'\r\n'):
        yield Sent(f'more behind it {more!r}', head() + more, 200, b'ok')


ANSWERS = tuple(_answers())
NO_ANSWERS = (*_lines(), *_fields(), *_lengths(), *_codings())
