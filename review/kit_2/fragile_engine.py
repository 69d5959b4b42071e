"""An engine, as a process, that a certain body crashes.

Arguments: its port, its id, the file to which it appends what it ran.
"""

import asyncio
import hashlib
import os
import sys
import time

from aiohttp import web

POISON = b'poison'
WORK_S = 0.2
EVENTS, EVENT_GAP_S = 3, 0.2


async def handle(request, server_id, log):
    request_id = request.headers['X-Request-Id']
    headers = {'X-Request-Id': request_id, 'X-Server-Load': '0,0,8'}
    if request.headers.get('X-Expect-Instance') != server_id:
        return web.Response(status=421, headers=headers)
    body = await request.read()
    line = f'{time.monotonic()} {server_id} {request_id}\n'
    os.write(log, line.encode())
    if body == POISON:
        os._exit(1)
    headers['X-Server-Seal'] = hashlib.sha256(body).hexdigest()[:8]
    if 'X-Token-Usage' in request.headers:
        return await stream(request, headers)
    await asyncio.sleep(WORK_S)
    return web.Response(body=b'done ' + body, headers=headers)


async def stream(request, headers):
    response = web.StreamResponse(headers=headers)
    response.content_type = 'text/event-stream'
    await response.prepare(request)
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(EVENT_GAP_S)
        await response.write(b'id: %d\ndata: e%d\n\n' % (number, number))
    await response.write_eof()
    return response


async def main():
    port, server_id, path = int(sys.argv[1]), sys.argv[2], sys.argv[3]
    log = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    async def respond(request):
        return await handle(request, server_id, log)

    app = web.Application()
    app.router.add_route('*', '/{path:.*}', respond)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', port).start()
    await asyncio.Event().wait()


asyncio.run(main())
