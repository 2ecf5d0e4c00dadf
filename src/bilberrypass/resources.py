"""What tasks demand and what hosts hold."""

import typing as t

MIB: t.Final = 1024 * 1024


class Demand(t.NamedTuple):
    """Processors in thousandths, memory in bytes, accelerators whole."""

    cpu_milli: int = 0
    memory_bytes: int = 0
    accelerators: int = 0

    def plus(self, other: "Demand") -> "Demand":
        """Return the sum, part by part."""
        return Demand(*(a + b for a, b in zip(self, other, strict=True)))

    def minus(self, other: "Demand") -> "Demand":
        """Return the difference, part by part; parts may be negative."""
        return Demand(*(a - b for a, b in zip(self, other, strict=True)))

    def fits(self, room: "Demand") -> bool:
        """Tell whether no part is larger than the room's."""
        return all(a <= b for a, b in zip(self, room, strict=True))

    def shortage(self, room: "Demand") -> str:
        """Name each part that the room lacks, for people; empty if it fits."""
        missing = [
            f"{name} (needs {need}, has {max(0, has)})"
            for name, need, has in zip(self._fields, self, room, strict=True)
            if need > has
        ]
        return ", ".join(missing)


def total(demands: t.Iterable[Demand]) -> Demand:
    """Return the sum of all demands."""
    result = Demand()
    for demand in demands:
        result = result.plus(demand)
    return result
