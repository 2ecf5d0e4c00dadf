"""The jobs of a soak as their callers know them."""

import typing as t

DEADLY: t.Final = "deadly"  # begins the specification of a job that crashes runners


class Job:
    """A submitted job as its caller knows it."""

    def __init__(self, id: str, body: dict[str, t.Any]) -> None:
        self.id = id
        self.body = body
        self.accepted_at = 0.0
        self.is_refused = False
        self.cancel_acked_at = 0.0
        self.cancel_sent = False
        self.last_state = ""

    @property
    def has_deadly_task(self) -> bool:
        """Whether the job's first task crashes each runner that starts it."""
        return self.body["specification"].startswith(DEADLY)

    def is_deadly(self, task: str) -> bool:
        """Return whether a task crashes each runner that starts it."""
        return self.has_deadly_task and task.split(".")[2:] == ["0", "0"]

    @property
    def is_long_running(self) -> bool:
        """Whether the job's tasks run until the job is cancelled."""
        return bool(self.body["steps"][0].get("long_running"))

    def describe(self) -> str:
        """Return what the caller knows about the job, for the detail of a violation."""
        tasks = sum(step["count"] for step in self.body["steps"])
        request = "cancelling" if self.cancel_sent else "kept"
        kind = "long-running" if self.is_long_running else "batch"
        when = f"accepted {self.accepted_at:.2f}, cancelled {self.cancel_acked_at:.2f}"
        return (
            f"{kind} of {tasks} x {self.repetitions}, {request}, {when}, "
            f"last state {self.last_state or 'none'}"
        )

    def step_of(self, task: str) -> dict[str, t.Any]:
        """Return the step, as submitted, to which one of the job's tasks belongs."""
        return self.body["steps"][int(task.split(".")[2])]

    @property
    def repetitions(self) -> int:
        """How many times the job's steps run."""
        return max(1, self.body.get("repetitions", 0))

    def due_at(self, task: str) -> float:
        """Return the Unix time before which a task may not start, 0 if none is set."""
        occurrence = int(task.split(".")[1])
        first_ms = self.body.get("first_run_ms", 0)
        return (first_ms + occurrence * self.body.get("interval_ms", 0)) / 1_000

    def task_names(self, step: int, occurrence: int) -> list[str]:
        """Return the names of the tasks of a step in one repetition of the job."""
        count = self.body["steps"][step]["count"]
        return [f"{self.id}.{occurrence}.{step}.{index}" for index in range(count)]
