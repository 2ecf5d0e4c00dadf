"""Log lines on cancelled jobs whose runs do not end."""

from bilberrypass import clock
from bilberrypass.scheduling import slow_stops
from testing import collecting, events, fixtures
from testing.scheduling import clusters


def test_run_that_outlives_the_cancel_of_its_job_is_logged_with_its_host():
    with clusters.running_cluster() as cluster, events.recorded() as found:
        host = cluster.add_host("h1")
        order = cluster.run_task(host)
        host.report()
        cluster.submissions.cancel("a" * 16, clock.now() + 2)
        host.await_orders(1, clusters.Verb.STOP)
        assert not found.named("jobs.stopping_slowly")
        cluster.scheduler.jobs["a" * 16].stopping_since -= 5.0
        fixtures.wait_until(
            lambda: found.named("jobs.stopping_slowly"), 2.0, "the line"
        )
        line = found.named("jobs.stopping_slowly")[0]
        assert (line["jobs"], line["oldest"]) == (1, "a" * 16)
        assert 5.0 <= line["for_s"] < 7.0
        (run,) = line["runs"].items()
        assert run[0] == f"{order.task}/1"
        assert (run[1]["host"], run[1]["phase"]) == ("h1", "STOPPING")
        assert slow_stops._slow_jobs._value.get() == 1
        host.execute_orders()
        cluster.await_status("cancelled", host)


load_tests = collecting.hook(__name__)
