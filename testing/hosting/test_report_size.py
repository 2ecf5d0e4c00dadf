"""Reports of an agent that have to fit into one message."""

import msgspec

from bilberrypass.hosting import report_size
from bilberrypass.scheduling import messages
from testing import collecting

_MAX_MESSAGE_BYTES = 64 << 20


def _row(number, checkpoint, end=0):
    state = messages.RunState.ENDED if end else messages.RunState.RUNNING
    return messages.RunRow(
        f"{number:016x}.0.0.0", 1, int(state), end=end, checkpoint=checkpoint
    )


def test_report_holds_the_rows_of_all_runs_whatever_their_checkpoints():
    """One report beyond the limit of a message was refused, and each one after it.

    The host counted as silent, and its runs were started elsewhere.
    """
    large = "c" * (1 << 20)
    rows = [_row(n, large) for n in range(80)] + [_row(80, large, 7), _row(81, "short")]
    limited = report_size.limit_checkpoints(rows)
    assert len(msgspec.msgpack.encode(limited)) < _MAX_MESSAGE_BYTES / 2
    by_task = {row.task: row for row in limited}
    assert by_task.keys() == {row.task for row in rows}
    assert by_task[rows[80].task] == rows[80]
    kept = sum(row.checkpoint == large for row in limited)
    assert kept == report_size.MAX_CHECKPOINT_CHARS // len(large)


def test_usual_report_is_unchanged_but_for_its_order():
    rows = [_row(n, "c" * 16, n % 2) for n in range(500)]
    assert sorted(report_size.limit_checkpoints(rows)) == sorted(rows)


load_tests = collecting.hook(__name__)
