"""Configurations as an operator writes them."""

from review.kit import world as worlds

LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 4194304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}


def turns_route(path='/turns/', service='models', **fields):
    """Return a route whose turns are stored."""
    return {
        'name': f'r{path.strip("/")}',
        'host': worlds.HOST,
        'path_prefix': path,
        'kind': 'streaming',
        'timeout_ms': 4000,
        'slo_ms': 250,
        'priority': 0,
        'service': service,
        'attempts': 2,
        'retain_context': True,
        'keep_s': 60.0,
        'sticky': True,
        'gap_aim_ms': 250,
        **fields,
    }


def orders_route(path='/orders/', service='orders', **fields):
    """Return a route of requests that run at most once."""
    return {
        'name': f'r{path.strip("/")}',
        'host': worlds.HOST,
        'path_prefix': path,
        'kind': 'non_idempotent',
        'timeout_ms': 2000,
        'slo_ms': 200,
        'priority': 2,
        'service': service,
        'attempts': 1,
        **fields,
    }


def configuration(version, routes, services=('models', 'orders')):
    return {
        'version': version,
        'routes': routes,
        'services': [_service(name) for name in services],
        'limits': LIMITS,
    }


def _service(name):
    service = {'name': name, 'health_path': '/healthz', 'max_conns': 250}
    if name == 'models':
        service['engine'] = {
            'slots': 32,
            'kv_capacity': 850995,
            'tokens_per_event': 19,
            'models': [{'name': 'm'}],
        }
    return service


def turn_headers(program, parent='', budget=100000, answer_tokens=600):
    """Return the headers of a turn of a program."""
    headers = {
        'X-Model': 'm',
        'X-Token-Usage': f'800,{answer_tokens}',
        'X-Prompt-Prefix': f'5c1e07a2:600,{program}:200',
        'X-Program-Id': program,
        'X-Session-Id': f's{program}',
        'X-Finish-Ms': '20000',
        'X-Token-Budget': str(budget),
    }
    if parent:
        headers['X-Previous-Turn'] = parent
    return headers
