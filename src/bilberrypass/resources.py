"""Resource demands of tasks and resource capacities of hosts."""

import typing as t

MIB: t.Final = 1024 * 1024


class Demand(t.NamedTuple):
    """Amounts of CPU (thousandths of a processor), memory (bytes) and accelerators."""

    cpu_milli: int = 0
    memory_bytes: int = 0
    accelerators: int = 0

    def plus(self, other: "Demand") -> "Demand":
        """Return the sum of each resource."""
        return Demand(*(a + b for a, b in zip(self, other, strict=True)))

    def minus(self, other: "Demand") -> "Demand":
        """Return the difference of each resource; values may be negative."""
        return Demand(*(a - b for a, b in zip(self, other, strict=True)))

    def fits_in(self, room: "Demand") -> bool:
        """Return whether no resource exceeds that of ``room``."""
        return all(a <= b for a, b in zip(self, room, strict=True))

    def describe_shortage(self, room: "Demand") -> str:
        """Return a text that names each resource that ``room`` lacks, empty if none."""
        missing = [
            f"{name} (needs {need}, has {max(0, has)})"
            for name, need, has in zip(self._fields, self, room, strict=True)
            if need > has
        ]
        return ", ".join(missing)


def sum_demands(demands: t.Iterable[Demand]) -> Demand:
    """Return the sum of all demands; all zero if there are none."""
    result = Demand()
    for demand in demands:
        result = result.plus(demand)
    return result
