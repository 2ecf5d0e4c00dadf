"""Bounds the size of an agent's report."""

import collections.abc as abc
import typing as t

from bilberrypass.scheduling import messages

MAX_CHECKPOINT_CHARS: t.Final = 8 << 20  # of all runs; a message holds 64 MiB


def limit_checkpoints(rows: abc.Iterable[messages.RunRow]) -> list[messages.RunRow]:
    """Return the rows of a report without the checkpoints that it cannot hold.

    Those of ended runs come first; the others are reported again. The scheduler keeps
    the newest checkpoint that it has of a run.
    """
    limited, left = [], MAX_CHECKPOINT_CHARS
    for row in sorted(rows, key=lambda row: not row.end):
        kept = row if len(row.checkpoint) <= left else row._replace(checkpoint="")
        left -= len(kept.checkpoint)
        limited.append(kept)
    return limited
