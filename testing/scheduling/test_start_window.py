"""Starts are shared among jobs, also when one has far more tasks than hosts start."""

from bilberrypass.scheduling import jobs, messages, start_window
from testing import collecting, fixtures
from testing.scheduling import clusters

TINY = jobs.Step(1, cpu_milli=10, estimate_s=0.01)
STARTS_A_TURN = 5
# Two windows of a host that has not shown its rate yet.
MAX_AHEAD = 256


class _Fleet:
    """Hosts that start a few tasks in each turn, in the order of their orders."""

    def __init__(self, cluster, count):
        self.hosts = [cluster.add_host(f"h{number}") for number in range(count)]
        self.begun: list[str] = []  # jobs, in the order of the starts of their tasks
        self._known: set[tuple[str, int]] = set()

    def turn(self):
        for host in self.hosts:
            for key, row in list(host.rows.items()):
                if row.state == clusters.State.RUNNING:
                    host.end_run(key, "done")
            count = 0
            while host.orders and count < STARTS_A_TURN:
                order = host.orders.pop(0)
                key = order.task, order.run
                if key in self._known:  # repeated after a change of the leader
                    continue
                count += 1
                self._known.add(key)
                host.rows[key] = messages.RunRow(*key, int(clusters.State.RUNNING))
                self.begun.append(order.task.partition(".")[0])
            host.report()

    def run_until(self, condition, what):
        def step():
            self.turn()
            return condition()

        fixtures.wait_until(step, 30.0, what)


def _submit_large(cluster, count):
    """Submit jobs that fill the queues of their hosts for minutes."""
    ids = [f"{0xA000 + number:016x}" for number in range(count)]
    for id in ids:
        cluster.submit(TINY._replace(count=20_000 // count), id=id)
    return ids


def _assert_small_jobs_begin_soon(cluster, fleet):
    before = len(fleet.begun)
    ids = [f"{number:016x}" for number in range(3)]
    for id in ids:
        cluster.submit(TINY, id=id)
    fleet.run_until(lambda: set(ids) <= set(fleet.begun), "the small jobs")
    ahead = len(fleet.begun) - before
    assert ahead <= MAX_AHEAD * len(fleet.hosts), ahead


def test_small_jobs_begin_beside_large_ones():
    """All starts of a large job were sent at once, and carried out before any other.

    Small jobs did not begin for as long as it had tasks, with all hosts idle.
    """
    for count in (1, 10):
        with clusters.running_cluster() as cluster:
            fleet = _Fleet(cluster, 2)
            _submit_large(cluster, count)
            fleet.run_until(lambda f=fleet: len(f.begun) > 300, "the large jobs")
            _assert_small_jobs_begin_soon(cluster, fleet)


def test_small_jobs_begin_beside_a_large_one_that_a_new_leader_restored():
    with clusters.running_cluster() as cluster:
        fleet = _Fleet(cluster, 2)
        _submit_large(cluster, 1)
        fleet.run_until(lambda: len(fleet.begun) > 300, "the large job")
        cluster.elect_scheduler()
        fleet.run_until(lambda: len(fleet.begun) > 600, "the large job again")
        _assert_small_jobs_begin_soon(cluster, fleet)


def test_starts_are_held_back_for_no_room():
    """Nothing is reserved for tasks that wait for the starts of their hosts."""
    with clusters.running_cluster() as cluster:
        fleet = _Fleet(cluster, 1)
        _submit_large(cluster, 1)
        fleet.run_until(lambda: len(fleet.begun) > 50, "the large job")
        assert not cluster.scheduler._placer._reservations.held


def _keys(count, first=0):
    return [(f"t{number}", 1) for number in range(first, first + count)]


def test_window_follows_the_rate_of_its_host():
    window = start_window.StartWindow()
    now, most = 100.0, []
    pending = []
    for rate in [50] * 6 + [400] * 10:
        window.update(now)
        while not window.is_full:
            (key,) = _keys(1, len(most) * 10_000 + len(pending))
            pending.append(key)
            window.add(key)
        for key in pending[: rate // 2]:
            window.record_begun(key)
        del pending[: rate // 2]
        now += 0.5
        most.append(window._most)
    assert 40 <= most[5] <= 60, most
    assert 350 <= most[-1] <= 450, most


def test_window_of_an_idle_host_stays():
    window = start_window.StartWindow()
    before = window._most
    for number in range(10):
        window.add((f"t{number}", 1))
        window.record_begun((f"t{number}", 1))
        window.update(100.0 + number)
    assert window._most == before and not len(window)


def test_run_that_never_began_leaves_the_window():
    window = start_window.StartWindow()
    for key in _keys(3):
        window.add(key)
    window.discard(("t1", 1))
    window.record_begun(("t2", 1))
    window.record_begun(("t2", 1))
    assert len(window) == 1


load_tests = collecting.hook(__name__)
