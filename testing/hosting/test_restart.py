"""A runner that starts again under its id, with an agent and a scheduler."""

from bilberrypass import clock
from bilberrypass.hosting import runner
from bilberrypass.platform import runner as runner_client
from bilberrypass.scheduling import hosts, jobs, messages
from testing import collecting, events, fixtures
from testing.hosting import sessions, systems
from testing.standins import runhttp

_LIFE, _NEXT_LIFE = systems.LIFE, 2_000
_LIFE_AFTER_CLOCK_STEP = 500
_RETRIES_S = 1.0  # several intervals at which an agent repeats a start
State = messages.RunState


def _cross_restart(cluster, host, process):
    """Deliver a start while the runner is down, and return the next life."""
    cluster.submit(jobs.Step(1, cpu_milli=100))
    orders = host.await_orders()
    process.crash()
    host.deliver(orders)
    current = process.start(_NEXT_LIFE)
    for _ in fixtures.polls(_RETRIES_S):
        if current.started:
            break
    host.begin_life(_NEXT_LIFE)
    return current


def test_run_of_an_earlier_life_is_not_on_the_next_one_unreported():
    with systems.running_system() as (cluster, host, process):
        current = _cross_restart(cluster, host, process)
        report = host.await_report(_NEXT_LIFE)
        present = list(current.running)
        states = {(row.task, row.run): row.state for row in report.runs}
        unreported = [k for k in present if states.get(k, State.GONE) == State.GONE]
        assert not unreported, (unreported, report.runs)


def test_start_that_crosses_a_restart_of_the_runner_does_not_run_a_task_twice():
    with systems.running_system() as (cluster, host, process):
        current = _cross_restart(cluster, host, process)
        other = cluster.add_host("h2")

        def second_starts():
            other.report()
            orders = [*other.orders, *host.orders]
            return [o for o in orders if o.verb == messages.Verb.START and o.run == 2]

        (second,) = fixtures.wait_until(second_starts, 5.0, "the order of run 2")
        assert (second.task, 1) not in current.running, current.running


def test_runs_of_a_runner_that_exits_are_gone_once_it_refuses_connections():
    id = sessions.info().id
    with runhttp.RunnerProcess(id, _LIFE) as process:
        client = runner_client.Runner(id, _LIFE, process.address)
        with sessions.session_with(client, life=_LIFE) as current:
            current.execute_orders(
                sessions.EPOCH, [sessions.order(messages.Verb.START)]
            )
            sessions.await_state(current, State.RUNNING)
            current.await_exit()
            for _ in fixtures.polls(1.5):
                assert sessions.row(current).state == State.RUNNING
            process.crash()
            crashed_at = clock.now()
            assert sessions.await_state(current, State.GONE).outcome == "left"
            assert clock.now() - crashed_at < 0.5


def test_run_that_starts_late_after_the_scheduler_settled_it_is_stopped():
    with systems.running_system() as (cluster, host, process):
        cluster.submit(jobs.Step(1, cpu_milli=100))
        (order,) = host.await_orders()
        process.runner.orders_to_lose = 1_000
        host.deliver([order])
        process.runner.is_silent = True

        def states():
            return [row.state for row in host.reports[-1].runs]

        fixtures.wait_until(lambda: states() == [State.GONE], 5.0, "the lapse")
        process.runner.is_silent, process.runner.orders_to_lose = False, 0
        fixtures.wait_until(lambda: not host.rows(), 5.0, "the settled row's removal")
        spec = runner.RunSpec(order.task, order.run, "", "", "")
        lease_end_ms = process.runner.clock_ms + 2_000
        process.runner.start(spec, lease_end_ms, process.runner.epoch, 0.0)
        assert process.runner.started == [(order.task, order.run)]
        fixtures.wait_until(lambda: process.runner.ended, 5.0, "an end")
        assert process.runner.ended[0].outcome == "stopped", process.runner.ended


def test_next_life_after_clock_step_back_is_accepted_although_it_answers():
    with systems.running_system() as (_, host, process):
        process.restart(_LIFE_AFTER_CLOCK_STEP)

        def has_begun():
            host.begin_life(_LIFE_AFTER_CLOCK_STEP)
            # A report has no runner until the next life has stated itself.
            info = host.reports[-1].runner
            return info is not None and info.life == _LIFE_AFTER_CLOCK_STEP

        fixtures.wait_until(has_begun, 6.0, "a session with the next life")


def test_agent_restarted_after_clock_step_back_is_accepted_soon():
    with systems.running_system() as (cluster, host, _):
        found = cluster.scheduler.hosts["h1"]
        number = host.restart_agent(-3_600.0)
        fixtures.wait_until(
            lambda: found.agent == number, hosts.SILENCE_TIMEOUT_S + 1.0, "the report"
        )
        fixtures.wait_until(lambda: host.responses[-1].lease_s, 1.0, "a lease")
        refused = [r for r in host.responses if not r.is_counted]
        assert refused and not any(r.lease_s for r in refused), refused


def test_crash_is_recorded_with_the_runs_that_had_begun():
    with (
        systems.running_system() as (cluster, host, process),
        events.recorded() as found,
    ):
        cluster.submit(jobs.Step(1, cpu_milli=100))
        (order,) = host.await_orders()
        host.deliver([order])
        fixtures.wait_until(lambda: process.runner.running, 5.0, "the run")
        process.crash()
        fixtures.wait_until(
            lambda: host.session.describe_crash(), 5.0, "a broken connection"
        )
        process.start(_NEXT_LIFE)
        host.begin_life(_NEXT_LIFE)
        (crash,) = found.named("runner.crashed")
        assert (crash["life"], crash["begun"]) == (_LIFE, 1)
        assert list(crash["age_s"]) == [f"{order.task}/1"]


def test_late_report_of_a_crashed_life_reaches_no_scheduler_from_a_new_agent():
    """It was believed, and the tasks of the true life were started a second time."""
    with systems.running_system() as (cluster, host, process):
        cluster.submit(jobs.Step(1, cpu_milli=100))
        (order,) = host.await_orders()
        host.deliver([order])
        fixtures.wait_until(lambda: process.runner.running, 5.0, "the run")
        host.restart_agent(1.0, first_life=_LIFE - 500)
        fixtures.wait_until(lambda: len(host.reports) > 2, 5.0, "reports")
        host.begin_life(_LIFE)
        host.await_report(_LIFE)
        assert all(
            r.runner is None or r.runner.life == _LIFE for r in list(host.reports)
        )
        task = cluster.scheduler.find_open_task(order.task)
        assert (task.run, task.host) == (1, "h1")
        assert process.runner.started == [(order.task, order.run)]


def test_restarted_agent_is_accepted_at_once():
    with systems.running_system() as (cluster, host, _):
        found = cluster.scheduler.hosts["h1"]
        number = host.restart_agent(1.0)
        fixtures.wait_until(lambda: found.agent == number, 0.5, "the report")
        assert all(response.is_counted for response in host.responses)


load_tests = collecting.hook(__name__)
