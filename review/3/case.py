"""A timed submission with many tasks: its progress outgrows a value of the store."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import harness  # noqa: E402

TIMED = "c0000000000000c3"
TASKS, TIMES, INTERVAL_MS = 100, 300, 270
PROBE_EVERY_S = 2.0
FED_S = 72.0
FINISH_S = 14.0


def case():
    with harness.Deployment(HERE / "record.txt", hosts=8) as found:
        step = {"count": 1, "cpu": 500, "task_memory_mb": 16, "estimated_ms": 500}
        if harness.is_troubled():
            small = {"count": TASKS, "cpu": 10, "task_memory_mb": 1}
            status = found.submit(
                TIMED,
                [small | {"estimated_ms": 600, "checkpointing": True}],
                specification="work_ms=600 saves",
                repetitions=TIMES,
                first_run_ms=int(time.time() * 1_000) + 500,
                interval_ms=INTERVAL_MS,
            )
            if status != 200:
                raise harness.CannotRunError("the timed submission was not accepted")
        accepted = {}
        began_at = time.monotonic()
        number = 0
        while time.monotonic() < began_at + FED_S:
            number += 1
            id = f"{number:016x}"
            if found.submit(id, [step], specification="work_ms=500") == 200:
                accepted[id] = time.time()
            time.sleep(PROBE_EVERY_S)
        time.sleep(FINISH_S)
        states = {id: found.state(id) for id in accepted}
        begun = {start["task"].split(".")[0] for start in found.record.lines("start")}
        lost = sorted(id for id in accepted if id not in begun)
        last = max(s["at"] for s in found.record.lines("start"))
        found.record.add(
            "summary",
            accepted=len(accepted),
            never_begun=len(lost),
            last_start_ago_s=round(time.time() - last, 1),
            timed_starts=len(found.starts(TIMED)),
        )
        if not accepted:
            raise harness.CannotRunError("nothing was accepted")
        if lost and all(states[id] in ("queued", "running", "") for id in lost):
            return (
                f"LOST: {len(lost)} of {len(accepted)} accepted submissions never "
                f"began; the last start was {time.time() - last:.0f} s ago"
            )
        return ""


if __name__ == "__main__":
    harness.run(case)
