"""Runs that hang or crawl on hosts whose reports are good."""

from bilberrypass.scheduling import jobs, stragglers
from testing import collecting, fixtures
from testing.scheduling import offices


def _followed(points, speed=100):
    progress = stragglers.Progress()
    for at, percent in points:
        progress.see(percent, speed, at)
    return progress


def test_a_run_that_moves_is_left_alone():
    progress = _followed([(10.0, 0), (10.5, 25), (11.0, 50), (11.5, 75)])
    assert not progress.is_stalled(11.9)
    assert not progress.is_crawling(2.0, 11.5)


def test_a_run_without_progress_is_stalled():
    progress = _followed([(10.0, 5), (10.5, 5), (11.0, 5)])
    assert not progress.is_stalled(11.0)
    assert progress.is_stalled(12.0)


def test_a_filler_that_was_slowed_is_not_taken_for_stalled():
    progress = _followed([(10.0, 5), (11.0, 5), (12.0, 5)], speed=0)
    assert not progress.is_stalled(12.5)


def test_a_run_at_a_seventh_of_its_speed_crawls():
    progress = _followed([(10.0, 0), (11.3, 14)])
    assert progress.is_crawling(1.28, 11.3)


def test_an_estimate_off_by_half_is_no_reason():
    progress = _followed([(10.0, 0), (11.3, 50)])
    assert not progress.is_crawling(1.28, 11.3)


def test_a_stalled_task_is_restarted_elsewhere_and_once():
    with offices.office() as office:
        bad, good = office.host("bad"), office.host("good", cpu=2_000)
        office.submit(jobs.Step(1, cpu_milli=100, estimate_s=1.0))
        bad.await_orders(1)
        bad.obey()

        def moved():
            bad.report(), good.report()
            return [o for o in bad.orders if o.verb == offices.Verb.STOP]

        fixtures.wait_until(moved, 5.0, "the stop")
        assert not good.orders
        bad.obey()

        def started():
            bad.report(), good.report()
            return [o for o in good.orders if o.verb == offices.Verb.START]

        (order,) = fixtures.wait_until(started, 5.0, "the start elsewhere")
        assert order.run == 2


load_tests = collecting.hook(__name__)
