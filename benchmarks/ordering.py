"""Compares orders of placement by what callers get, in simulated time.

    python -m benchmarks.ordering --seeds 40 --loads 0.7 1.3 2.0

Plays the product's rank and the earliest objective over the same drawn loads, and
prints the mean of each, and of the paired differences with its 95% interval.
"""

import argparse
import statistics

from testing.scheduling import overloads

_QUANTILE = 1.96
_ORDERS = {"by_objective": overloads.by_objective, "by_rank": overloads.by_rank}


def _interval(values: list[float]) -> str:
    half = _QUANTILE * statistics.stdev(values) / len(values) ** 0.5
    return f"{statistics.mean(values):+.3f} +- {half:.3f}"


def main() -> None:
    """Print one block for each load."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=40)
    parser.add_argument("--loads", type=float, nargs="+", default=[0.7, 1.0, 1.3, 2.0])
    args = parser.parse_args()
    for load in args.loads:
        outcomes = {
            name: [
                overloads.play(overloads.draw(seed, load), order)
                for seed in range(args.seeds)
            ]
            for name, order in _ORDERS.items()
        }
        for field in overloads.Outcome._fields:
            before, after = (
                [getattr(outcome, field) for outcome in found]
                for found in outcomes.values()
            )
            change = [b - a for a, b in zip(before, after, strict=True)]
            print(
                f"load {load}: {field} {statistics.mean(before):.3f} "
                f"-> {statistics.mean(after):.3f}, {_interval(change)}"
            )


if __name__ == "__main__":
    main()
