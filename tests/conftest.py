"""Options and markers of the test run."""

import os

import pytest

from tests import mutations


def pytest_addoption(parser):
    """Add the options of the proofs."""
    parser.addoption('--mutate', default='', help='Break the build first.')
    parser.addoption('--golden', action='store_true', help='Write anew.')
    parser.addoption('--seeds', type=int, default=0, help='Seeds a proof.')


def pytest_configure(config):
    """Register the marker and apply the mutation that is asked for."""
    config.addinivalue_line(
        'markers',
        'point(number, *mutations): proves a point of the brief and must '
        'turn red under each of the mutations',
    )
    name = config.getoption('--mutate')
    if name:
        os.environ['BALSAMDALE_MUTATION'] = name
        mutations.apply(name)


def pytest_collection_modifyitems(items):
    """List the proofs for `harness.prove` when it asks."""
    if 'BALSAMDALE_LIST_PROOFS' in os.environ:
        for item in items:
            for marker in item.iter_markers('point'):
                number, *names = marker.args
                print('proof', item.nodeid, number, *names)


@pytest.fixture
def seeds(request):
    """Return how many seeds a proof tries: few in a plain test run."""
    return request.config.getoption('--seeds') or 40


@pytest.fixture
def is_long(request):
    """Tell whether this is the long run of `make prove`."""
    return bool(request.config.getoption('--seeds'))
