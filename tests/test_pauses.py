"""Tests of pauses of an entry, and of what has run out meanwhile."""

import time

from balsamdale import pauses
from tests import routed_site


def test_pause_is_known_before_and_shortly_after_the_late_tick():
    detector = pauses.PauseDetector()
    assert detector.recent_s(50.0) == 0
    detector.start(100.0)
    assert detector.tick(100.3) == 0
    assert detector.recent_s(101.7) == 0
    assert detector.recent_s(103.3) == 3.0
    assert detector.tick(103.3) == 3.0
    assert detector.recent_s(103.35) == 3.0
    assert detector.recent_s(103.5) == 0
    assert detector.tick(103.5) == 0


def test_request_from_before_a_pause_is_not_given_its_whole_time(tmp_path):
    """Its caller has given up, or has sent it to another entry."""

    async def scenario(deployment):
        entry = deployment.nodes['entry-a']
        entry.pauses.start(time.monotonic() - 60.0)
        status, _, headers = await deployment.post(
            '/reads/x', **{'X-Request-Id': 'r1'}
        )
        assert status == 503
        assert float(headers['Retry-After']) > 0
        assert not deployment.run_count('r1')
        entry.pauses.start(time.monotonic())
        assert (await deployment.post('/reads/x'))[0] == 200

    routed_site.run(tmp_path, scenario)


def test_delay_of_a_busy_machine_is_not_taken_for_a_pause(tmp_path):
    """Requests that came right after a delay of a second were refused."""

    async def scenario(deployment):
        assert (await deployment.post('/reads/x'))[0] == 200
        entry = deployment.nodes['entry-a']
        entry.pauses.start(time.monotonic() - 1.2)
        assert (await deployment.post('/reads/x'))[0] == 200

    routed_site.run(tmp_path, scenario)
