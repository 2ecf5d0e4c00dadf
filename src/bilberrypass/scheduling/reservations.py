"""Reservations of room for tasks that no host can hold now, and backfilling."""

import collections.abc as cabc
import math
import typing as t

import prometheus_client as prometheus

from bilberrypass.scheduling import (
    backfilling,
    hosts,
    jobs,
    leader_gauges,
    placement,
    reservation_promises,
    room_plan,
    state,
    waiting_tasks,
)

MAX_HOST_SHARE: t.Final = 0.125
_MAX_SHARE_OF_STEP: t.Final = 0.5  # of the hosts that may be reserved
_MAX_STEPS: t.Final = 4  # the first in rank; work after them is placed as it fits
_MAX_TRIES: t.Final = 8  # steps that are tried in one round
_MAX_SEARCHES: t.Final = 2  # of all hosts in one round
_MAX_SERVICE_SHARE: t.Final = 0.75  # of the cores; services return none
_MIN_SLACK_S: t.Final = 0.5  # reports are that far apart

_held_hosts = leader_gauges.create(
    "bilberrypass_hosts_reserved", "Hosts on which room is reserved for a waiting task"
)
_changes = prometheus.Counter(
    "bilberrypass_reservations",
    "Reservations of room by what became of them",
    ["change"],
)


@t.final
class Reservations:
    """Keeps room for the first tasks in rank that no host can hold.

    Handles large tasks among a stream of small ones, which would take each gap before
    it is large enough. The first steps in rank that find no room get a host each, where
    room is expected first. Until then, work lower in rank, and work of the same
    priority that came later, starts there only if it is expected to end before, or if
    it leaves the room that the reservation needs. Nothing is stored: reservations are
    made anew in each round, from what runs and what waits. A task that needs the end of
    one run only, or finds room within a report, gets none while that holds true.
    Services get none where they hold most cores: they would leave batch work no room.

    Parameters
    ----------
    expected_end : callable
        Returns when a task is expected to end; see ``room_plan.expected_end``.
    max_host_share : float
        Largest share of the hosts on which room is reserved, at least one host;
        0 switches reservations off.
    """

    def __init__(
        self,
        expected_end: room_plan.ExpectedEnd = room_plan.expected_end,
        max_host_share: float = MAX_HOST_SHARE,
    ) -> None:
        self._expected_end = expected_end
        self._max_host_share = max_host_share
        self.held: dict[str, backfilling.Reservation] = {}  # by host
        self._renewed: set[jobs.StepKey] = set()
        self._promises: dict[jobs.StepKey, reservation_promises.Promise] = {}
        self._gaps: dict[str, backfilling.Reservation] = {}
        self._next_gaps: dict[str, backfilling.Reservation] = {}
        self._usable: list[hosts.Host] = []
        self._has_room_for_services = True
        self._budget = 0
        self._holders: set[jobs.StepKey] = set()  # when the round began
        self._tries = self._searches = 0
        self._served_by_rank: dict[tuple[str, str], list[tuple[int, int, int]]] = {}
        self._log = reservation_promises.ReservationLog()
        self._plan = room_plan.RoomPlan(0.0, expected_end)

    def begin_round(self, usable: list[hosts.Host], now: float) -> None:
        """Begin a round of placement on usable hosts; ``now`` is on ``clock.now``."""
        share = self._max_host_share
        self._budget = max(1, int(len(usable) * share)) if share else 0
        self._log.begin_round(now)
        self._plan = room_plan.RoomPlan(now, self._expected_end)
        self._usable = usable
        self._has_room_for_services = _has_room_for_services(usable)
        self._renewed.clear()
        self._holders = {kept.key for kept in self.held.values()}
        self._served_by_rank.clear()
        self._tries = self._searches = 0

    def end_round(self) -> None:
        """Drop the reservations of steps that did not ask for them in this round."""
        now = self._plan.now
        for name, kept in list(self.held.items()):
            if kept.key not in self._renewed:
                del self.held[name]
                _changes.labels("dropped").inc()
        self._gaps, self._next_gaps = self._next_gaps, {}
        for key, promise in list(self._promises.items()):
            if promise.is_outdated(now):
                del self._promises[key]
        _held_hosts.set(len(self.held))

    def guard(
        self, task: state.Task, owner: backfilling.Precedence
    ) -> backfilling.Guard | None:
        """Return what keeps room from the tasks of a step; None if nothing does."""
        if not self.held and not self._gaps:
            return None
        key = jobs.step_key(task.key)
        bound = {
            name: kept
            for name, kept in self.held.items()
            if kept.key != key and self._is_bound(owner, kept)
        }
        is_small = not (task.step.is_filler or task.step.is_service)
        gaps = self._gaps if is_small else {}
        return (
            backfilling.Guard(self._plan, task, bound, gaps) if bound or gaps else None
        )

    def _is_bound(
        self, owner: backfilling.Precedence, kept: backfilling.Reservation
    ) -> bool:
        """Return whether a job has to leave the room of a reservation.

        Jobs come in the order of their rank, so that steps whose reservation was
        renewed in this round go before this one.
        """
        if kept.key in self._renewed:
            return True
        is_equal = owner[:2] == kept.precedence[:2]
        return is_equal and owner.accepted_at > kept.precedence.accepted_at

    def on_placed(self, tasks: list[state.Task]) -> None:
        """Release the room that was reserved for tasks which have started."""
        for task in tasks:
            kept = self.held.get(task.host)
            if kept is not None and kept.key == jobs.step_key(task.key):
                del self.held[task.host]
                _changes.labels("used").inc()

    def reserve(
        self,
        waiting: waiting_tasks.WaitingTasks,
        owner: backfilling.Precedence,
        chooser: placement.StepPlacement,
        was_held_back: bool = False,
    ) -> None:
        """Reserve room for the next tasks of a step that found no host.

        Parameters
        ----------
        waiting : waiting_tasks.WaitingTasks
            The tasks of the step that wait, at least one.
        owner : backfilling.Precedence
            The precedence of their job.
        chooser : placement.StepPlacement
            Tells which hosts may hold them.
        was_held_back : bool
            Whether a host has room that others reserved; the step keeps reservations
            that it has, and gets no new ones.
        """
        if not self.can_reserve(waiting[0], owner, was_held_back):
            return
        self._tries += 1
        now, key = self._plan.now, jobs.step_key(waiting[0].key)
        earlier = {name: kept for name, kept in self.held.items() if kept.key == key}
        for name in earlier:
            del self.held[name]
        promise = self._promises.setdefault(key, reservation_promises.Promise())
        promise.observe(len(waiting), now)
        if now < promise.given_up_until:
            return
        of_step = max(1, int(self._budget * _MAX_SHARE_OF_STEP))
        wanted = min(len(waiting), of_step, self._budget - self._count_binding(owner))
        if wanted <= 0:
            return
        if not earlier and now <= promise.until:
            near = self._find_near_room(waiting[0].step, owner, chooser)
            if near is not None:
                served = self._served_by_rank.setdefault(_kind(waiting[0]), [])
                served.append(_demand(waiting[0].step))
                promise.until = min(promise.until, self._kept_until(near.at))
                return
        found = self._find_room(waiting[0].step, owner, chooser, earlier, wanted)
        if not found:
            return
        first = found[0]
        if first.at > promise.until and promise.is_reserved:
            is_given_up = promise.count_slip(now)
            change = "given_up" if is_given_up else "slipped"
            _changes.labels(change).inc()
            self._log.record(
                f"reservation.{change}",
                waiting[0],
                host=first.host.name,
                in_s=round(first.at - now, 2),
                why=self._explain_slip(earlier),
            )
            if is_given_up:
                return
        promise.reserve(first.at, self._kept_until(first.at))
        self._renewed.add(key)
        for task, room in zip(waiting, found[:wanted], strict=False):
            self._hold(task, key, owner, room, earlier.get(room.host.name))
        for name, gap in self._gaps.items():
            if gap.key == key and len(found) <= wanted:
                self._next_gaps.setdefault(name, gap)
        for room in found[wanted:]:
            gap = backfilling.Reservation(
                key, waiting[0], owner, room.host.name, now, room.at, room.at
            )
            self._next_gaps.setdefault(room.host.name, gap)

    def can_reserve(
        self,
        task: state.Task,
        owner: backfilling.Precedence,
        was_held_back: bool = False,
    ) -> bool:
        """Return whether a step that found no host may have reservations now.

        Fillers have none: the latency of services limits them, rather than room.
        """
        if task.step.is_filler:
            return False
        if task.step.is_service and not self._has_room_for_services:
            return False
        if jobs.step_key(task.key) in self._holders:
            return True
        if was_held_back or self._tries >= _MAX_TRIES:
            return False
        if len(self._renewed) >= _MAX_STEPS:
            return False
        if self._count_binding(owner) >= self._budget:
            return False
        if task.step.max_per_host:
            return True
        demand = _demand(task.step)
        return not any(
            all(a >= b for a, b in zip(served, demand, strict=True))
            for served in self._served_by_rank.get(_kind(task), ())
        )

    def _count_binding(self, owner: backfilling.Precedence) -> int:
        return sum(self._is_bound(owner, kept) for kept in self.held.values())

    def _find_near_room(
        self,
        step: jobs.Step,
        owner: backfilling.Precedence,
        chooser: placement.StepPlacement,
    ) -> "_Room | None":
        """Return a host that has room after one end, or within a report, or None."""
        soon = self._plan.now + _MIN_SLACK_S
        for room in self._rooms(step, owner, chooser):
            if room.ends == 1 or room.at < soon:
                return room
        return None

    def _find_room(
        self,
        step: jobs.Step,
        owner: backfilling.Precedence,
        chooser: placement.StepPlacement,
        earlier: dict[str, backfilling.Reservation],
        wanted: int,
    ) -> list["_Room"]:
        """Return the hosts that will have room first, those reserved before at first.

        A reservation stays on its host as long as that keeps its time: room on a host
        would never grow if another were reserved in each round. Only if others are
        needed, all hosts are searched, and those next in line are returned as well; for
        steps after the first ones of a round, the next round does that.
        """
        now = self._plan.now
        kept_rooms = [
            room
            for room in self._rooms(step, owner, chooser, earlier)
            if room.at <= earlier[room.host.name].until
        ]
        kept_rooms.sort(key=lambda room: room.at)
        if len(kept_rooms) >= wanted or self._searches >= _MAX_SEARCHES:
            return kept_rooms
        self._searches += 1
        names = {room.host.name for room in kept_rooms}
        rooms = [
            room
            for room in self._rooms(step, owner, chooser)
            if room.host.name not in names
        ]
        rooms.sort(key=lambda room: (now < room.host.avoid_until, room.at))
        return (kept_rooms + rooms)[: 2 * wanted]

    def _rooms(
        self,
        step: jobs.Step,
        owner: backfilling.Precedence,
        chooser: placement.StepPlacement,
        names: cabc.Container[str] | None = None,
    ) -> cabc.Iterator["_Room"]:
        """Yield the hosts that will have room, of those with ``names`` or of all."""
        for host in self._usable:
            if names is not None and host.name not in names:
                continue
            kept = self.held.get(host.name)
            if kept is not None and self._is_bound(owner, kept):
                continue
            if chooser.is_allowed(host):
                fit = self._plan.earliest_fit(step, host)
                if self._plan.now < fit.at < math.inf:
                    yield _Room(fit.at, fit.ends, host)

    def _kept_until(self, at: float) -> float:
        return max(room_plan.latest_end(at, self._plan.now), at + _MIN_SLACK_S)

    def _hold(
        self,
        task: state.Task,
        key: jobs.StepKey,
        owner: backfilling.Precedence,
        room: "_Room",
        earlier: backfilling.Reservation | None,
    ) -> None:
        """Reserve a host, in place of work lower in rank if too many are reserved."""
        now, name = self._plan.now, room.host.name
        if earlier is not None and room.at <= earlier.until:
            made_at, until = earlier.made_at, earlier.until
        else:
            made_at, until = now, self._kept_until(room.at)
            _changes.labels("made").inc()
            self._log.record(
                "reservation.made", task, host=name, in_s=round(room.at - now, 2)
            )
        self.held.pop(name, None)
        self.held[name] = backfilling.Reservation(
            key, task, owner, name, made_at, room.at, until
        )
        if len(self.held) > self._budget:
            for other in reversed(list(self.held.values())):
                if not self._is_bound(owner, other) and other.key != key:
                    del self.held[other.host]
                    _changes.labels("dropped").inc()
                    break

    def _explain_slip(self, earlier: dict[str, backfilling.Reservation]) -> str:
        if not earlier:
            return "the room went to work of higher rank"
        kept = next(iter(earlier.values()))
        host = next((h for h in self._usable if h.name == kept.host), None)
        if host is None:
            return f"host {kept.host} is not usable"
        late = (
            self._plan.expected_end(task) > kept.until
            and task.started_at > kept.made_at
            for task in host.tasks.values()
        )
        if any(late):
            return f"work of higher rank started on host {kept.host}"
        return f"runs on host {kept.host} end later than expected"


class _Room(t.NamedTuple):
    """When a host will have room for a task, and how many runs end before."""

    at: float
    ends: int
    host: hosts.Host


def _has_room_for_services(usable: list[hosts.Host]) -> bool:
    """Return whether services hold so few cores that batch work keeps its share."""
    total = sum(host.runner.cpu_milli for host in usable if host.runner is not None)
    return sum(host.service_cpu for host in usable) < _MAX_SERVICE_SHARE * total


def _kind(task: state.Task) -> tuple[str, str]:
    """Return what tasks share that may use the same hosts."""
    return task.job.job.queue, task.step.required_label


def _demand(step: jobs.Step) -> tuple[int, int, int]:
    return step.cpu_milli, step.memory_mb, step.gpus
