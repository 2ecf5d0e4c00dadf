"""A flapping runner makes jobs fail of which no run has ended as failed."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import harness  # noqa: E402

LASTING, BATCH = "a0000000000000a1", "b0000000000000b2"
FLAP_S, PERIOD_S = 6.5, 1.4
WATCHED_S = 14.0


def case():
    def labels(number):
        return ["b" if number == 0 else "a", f"r1-{number // 3}"]

    with harness.Deployment(HERE / "record.txt", hosts=10, labels=labels) as found:
        step = {"count": 1, "cpu": 2_000, "task_memory_mb": 256, "estimated_ms": 4_000}
        step |= {"requirements": "b"}
        lasting = step | {"long_running": True, "image": "im-1"}
        for id, steps, spec in (
            (LASTING, [lasting], "lasts"),
            (BATCH, [step], "work_ms=4000"),
        ):
            if found.submit(id, steps, specification=spec) != 200:
                raise harness.CannotRunError("a submission was not accepted")
        found.wait_until(
            lambda: found.starts(LASTING) and found.starts(BATCH), 5, "first starts"
        )
        time.sleep(1.0)
        if harness.is_troubled():
            until = time.monotonic() + FLAP_S
            while time.monotonic() < until:
                found.runners[0].crash()
                time.sleep(PERIOD_S / 2)
                found.runners[0].start()
                time.sleep(PERIOD_S / 2)
            found.record.add("flap_ended")
        else:
            time.sleep(FLAP_S)
        failed = set()
        until = time.monotonic() + WATCHED_S
        while time.monotonic() < until:
            for id in (LASTING, BATCH):
                if found.state(id) == "failed":
                    failed.add(id)
            time.sleep(1.0)
        ends = [end for id in (LASTING, BATCH) for end in found.ends(id)]
        if any(end["how"] == "failed" for end in ends):
            raise harness.CannotRunError("a run has ended as failed")
        if failed:
            return f"LOST: {sorted(failed)} shown as failed; no run ended as failed"
        if len({start["run"] for start in found.starts(LASTING)}) < 1:
            raise harness.CannotRunError("the lasting task never ran")
        return ""


if __name__ == "__main__":
    harness.run(case)
