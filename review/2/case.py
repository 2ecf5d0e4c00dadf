"""Timed submissions with many repetitions take more memory than an entry has."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import harness  # noqa: E402

TIMED, TASKS, TIMES, INTERVAL_MS = 24, 10, 2_880, 60_000  # two days
RETRIES = 4  # as the clients of the sites
NEEDED_TASKS = 600_000
PROBE_EVERY_S = 2.0
FED_S = 40.0
FINISH_S = 14.0
ENDS_THAT_COUNT = 3  # RULES.md, Fault


def hand_in(found, number, step):
    """Hand a timed submission in, with a client's retries; return if it is kept."""
    first_run_ms = int(time.time() * 1_000) + 3_600_000
    for attempt in range(1 + RETRIES):
        node = found.entries[(number + attempt) % len(found.entries)]
        status = found.submit(
            f"c{number:015x}",
            [step | {"count": TASKS}],
            node,
            specification="work_ms=500",
            repetitions=TIMES,
            first_run_ms=first_run_ms,
            interval_ms=INTERVAL_MS,
        )
        if status == 200:
            return True
        time.sleep(0.5)
    return False


def case():
    with harness.Deployment(HERE / "record.txt", hosts=4) as found:
        found.enforce_memory()
        step = {"count": 1, "cpu": 500, "task_memory_mb": 16, "estimated_ms": 500}
        if harness.is_troubled():
            kept = sum(hand_in(found, number, step) for number in range(TIMED))
            if kept * TASKS * TIMES < NEEDED_TASKS:
                raise harness.CannotRunError(f"only {kept} timed ones were accepted")
        accepted = []
        began_at = time.monotonic()
        number = 0
        while time.monotonic() < began_at + FED_S:
            number += 1
            id = f"{number:016x}"
            node = found.entries[number % len(found.entries)]
            if found.submit(id, [step], node, specification="work_ms=500") == 200:
                accepted.append(id)
            time.sleep(PROBE_EVERY_S)
        time.sleep(FINISH_S)
        begun = {start["task"].split(".")[0] for start in found.record.lines("start")}
        lost = [id for id in accepted if id not in begun]
        states = {id: found.state(id) for id in lost}
        ends = [line["name"] for line in found.record.lines("over_memory")]
        often = [n for n in set(ends) if ends.count(n) >= ENDS_THAT_COUNT]
        found.record.add(
            "summary",
            sent=number,
            accepted=len(accepted),
            never_begun=len(lost),
            states=states,
            over_memory={name: ends.count(name) for name in set(ends)},
        )
        why = []
        if len(often) >= 2:
            why.append(
                f"Fault: {len(ends)} ends over the memory limit on {len(set(ends))} "
                f"of {len(found.entries)} entries"
            )
        if lost:
            why.append(
                f"LOST: {len(lost)} of {len(accepted)} accepted submissions never began"
            )
        return "; ".join(why)


if __name__ == "__main__":
    harness.run(case)
