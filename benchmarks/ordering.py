"""Compares orders of placement by what callers get, in simulated time.

    python -m benchmarks.ordering --seeds 40 --loads 0.7 1.3 2.0 --errors 0.2 0.9

Plays the product's rank and another order over the same drawn loads, and prints the
mean of each, and of the paired differences with its 95% interval. Tasks of a step
differ, unless ``--even-tasks`` is given; ``--errors`` are those of the estimates.
"""

import argparse
import statistics

from testing.scheduling import overloads

_QUANTILE = 1.96
_ORDERS = {
    "by_objective": overloads.by_objective,
    "by_estimates": overloads.by_estimates,
}


def _interval(values: list[float]) -> str:
    half = _QUANTILE * statistics.stdev(values) / len(values) ** 0.5
    return f"{statistics.mean(values):+.3f} +- {half:.3f}"


def main() -> None:
    """Print one block for each load and error of the estimates."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=40)
    parser.add_argument("--loads", type=float, nargs="+", default=[0.7, 1.0, 1.3, 2.0])
    parser.add_argument("--errors", type=float, nargs="+", default=[0.2, 0.5, 0.9])
    parser.add_argument("--even-tasks", action="store_true")
    parser.add_argument("--before", choices=_ORDERS, default="by_estimates")
    args = parser.parse_args()
    for error in args.errors:
        for load in args.loads:
            before, after = (
                [
                    overloads.play(
                        overloads.draw(seed, load, error, not args.even_tasks),
                        order,
                        overloads.END_S if args.even_tasks else overloads.SPREAD_END_S,
                    )
                    for seed in range(args.seeds)
                ]
                for order in (_ORDERS[args.before], overloads.by_rank)
            )
            print(f"error {error}, load {load}: {_compare(before, after)}", flush=True)


def _compare(before: list[overloads.Outcome], after: list[overloads.Outcome]) -> str:
    found = []
    for field in overloads.Outcome._fields:
        first, second = (
            [getattr(outcome, field) for outcome in outcomes]
            for outcomes in (before, after)
        )
        change = [b - a for a, b in zip(first, second, strict=True)]
        found.append(
            f"{field} {statistics.mean(first):.3f} -> {statistics.mean(second):.3f}, "
            f"{_interval(change)}"
        )
    return "; ".join(found)


if __name__ == "__main__":
    main()
