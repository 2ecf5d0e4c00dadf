"""Stand-in for a runner with runs, ends, lease, epochs, and delayed or lost orders."""

import threading

from bilberrypass import clock, errors
from bilberrypass.hosting import runner

_MS_PER_S = 1_000
_TURN_INTERVAL_S = 0.05


class _DelayedOrder:
    """An order that is executed at a later time."""

    def __init__(self, at, call):
        self.at = at
        self.call = call


class Runner(runner.Runner):
    """One life of a runner.

    ``orders_to_lose`` is the number of coming orders that get no answer; they are
    executed ``lost_order_delay_s`` seconds later, or never if that is None.
    ``holds_to_lose`` does the same to polls. ``is_order_late`` is set while such a call
    is executed. While ``is_silent`` is set, no call is answered or executed; once
    ``has_left`` is set, all calls are refused. ``max_runs`` is the maximum number of
    concurrent runs. Longer leases than ``max_lease_ms`` are shortened to it.
    ``on_started`` is called with the task of each run that starts.
    ``highest_ended`` holds for each task the highest run number that has ended or was
    stopped; runs up to it may not start again.
    """

    def __init__(
        self,
        life=1_000,
        max_runs=100,
        clock_rate=1.0,
        max_lease_ms=None,
    ):
        self.life = life
        self.max_runs = max_runs
        self.max_lease_ms = max_lease_ms
        self.orders_to_lose = 0
        self.holds_to_lose = 0
        self.lost_order_delay_s = None
        self.is_order_late = False
        self.is_silent = False
        self.has_left = False
        self.epoch = 0
        self.running: dict[tuple[str, int], str] = {}
        self.highest_ended: dict[str, int] = {}
        self.ended: list[runner.EndedRun] = []
        self.started: list[tuple[str, int]] = []
        self.on_started = lambda task: None
        self.paces: dict[tuple[str, int], int] = {}
        self.figures: dict[tuple[str, int], int] = {}
        self.lease_end_ms = 0
        self._end_number = 0
        self._started_at = clock.now()
        self._clock_rate = clock_rate
        self._delayed_orders: list[_DelayedOrder] = []
        self._lock = threading.Condition()

    @property
    def clock_ms(self):
        elapsed_s = (clock.now() - self._started_at) * self._clock_rate
        return 1 + int(elapsed_s * _MS_PER_S)  # 0 stands for a clock that is not known

    def _turn(self):
        """Execute delayed orders that are due, and end all runs after lease expiry."""
        due = [order for order in self._delayed_orders if order.at <= clock.now()]
        self._delayed_orders = [
            order for order in self._delayed_orders if order.at > clock.now()
        ]
        self.is_order_late = True
        for order in due:
            order.call()
        self.is_order_late = False
        if self.running and self.clock_ms > self.lease_end_ms:
            for key in list(self.running):
                self._end(key, "lapsed")

    def _end(self, key, outcome):
        checkpoint = self.running.pop(key)
        self._end_number += 1
        self.highest_ended[key[0]] = max(self.highest_ended.get(key[0], 0), key[1])
        self.ended.append(runner.EndedRun(self._end_number, *key, outcome, checkpoint))
        self._lock.notify_all()

    def end_run(self, task, run, outcome="done"):
        """End a run as if it ended by itself."""
        with self._lock:
            self._end((task, run), outcome)

    def _check_reach(self):
        if self.has_left:
            raise runner.NotListening("refused")
        if self.is_silent:
            raise errors.Error(errors.Kind.ANSWER_LOST, "silent")

    def _execute(self, call):
        with self._lock:
            self._turn()
            self._check_reach()
            if self.orders_to_lose:
                self.orders_to_lose -= 1
                self._lose(call)
            return runner.Answer(call(), self.clock_ms)

    def _lose(self, call):
        """Execute a call later, if at all, and raise the error of a lost answer."""
        if self.lost_order_delay_s is not None:
            self._delayed_orders.append(
                _DelayedOrder(clock.now() + self.lost_order_delay_s, call)
            )
        raise errors.Error(errors.Kind.ANSWER_LOST, "no answer: order lost")

    def start(self, run, lease_end_ms, epoch, deadline):
        return self._execute(lambda: self._start(run, lease_end_ms, epoch))

    def _start(self, run, lease_end_ms, epoch):
        if epoch < self.epoch:
            return "fence"
        self.epoch = epoch
        key = (run.task, run.run)
        if key in self.running:
            return ""
        if run.run <= self.highest_ended.get(run.task, 0):
            return "old"
        if lease_end_ms < self.clock_ms:
            return "late"
        if len(self.running) >= self.max_runs:
            return "room"
        self._extend_lease(lease_end_ms)
        self.running[key] = run.checkpoint
        self.started.append(key)
        self.on_started(run.task)
        return ""

    def _extend_lease(self, lease_end_ms):
        if self.max_lease_ms is not None:
            lease_end_ms = min(lease_end_ms, self.clock_ms + self.max_lease_ms)
        self.lease_end_ms = max(self.lease_end_ms, lease_end_ms)

    def stop(self, task, run, epoch, deadline):
        return self._execute(lambda: self._stop(task, run, epoch))

    def _stop(self, task, run, epoch):
        if epoch < self.epoch:
            return "fence"
        self.epoch = epoch
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), run)
        if (task, run) in self.running:
            self._end((task, run), "stopped")
        return ""

    def set_pace(self, task, run, percent, epoch, deadline):
        def pace():
            self.paces[task, run] = percent
            return ""

        return self._execute(pace)

    def poll(self, acknowledged_end, lease_end_ms, epoch, wait_s):
        with self._lock:
            self._turn()
            self._check_reach()
            if self.holds_to_lose:
                self.holds_to_lose -= 1
                self._lose(lambda: self._hold(acknowledged_end, lease_end_ms, epoch))
            if self._hold(acknowledged_end, lease_end_ms, epoch):
                raise errors.Error(errors.Kind.ENDPOINT_UNREACHABLE, "fence")
            deadline = clock.now() + wait_s
            while not self.ended and clock.now() < deadline:
                self._lock.wait(_TURN_INTERVAL_S)
                self._turn()
                self._check_reach()
            running = [
                runner.ActiveRun(*key, checkpoint, 50, self.figures.get(key, 0))
                for key, checkpoint in self.running.items()
            ]
            return runner.RunnerSnapshot(
                running, list(self.ended), self.clock_ms, self.life
            )

    def _hold(self, acknowledged_end, lease_end_ms, epoch):
        if epoch < self.epoch:
            return "fence"
        self.epoch = epoch
        self._extend_lease(lease_end_ms or 0)
        self.ended = [end for end in self.ended if end.number > acknowledged_end]
        return ""
