"""The HTML report that is drawn from logs and metrics."""

import contextlib
import json
import pathlib
import tempfile

from bilberrypass import errors
from bilberrypass.commands import report, report_inputs
from testing import collecting, fixtures

LINES = [
    {"at": 10.0, "event": "process.started", "node": "e1", "role": "entry"},
    {"at": 10.5, "event": "store.lost", "node": "e1", "why": "no answer"},
    {
        "at": 11.0,
        "event": "job.ended",
        "node": "e1",
        "status": "completed",
        "took_s": 2.5,
    },
    {
        "at": 12.0,
        "event": "scheduler.load",
        "node": "e1",
        "jobs": 7,
        "cores_fillers": 9,
    },
]
METRICS = """# HELP x_seconds Time
# TYPE x_seconds histogram
x_seconds_bucket{call="get",le="0.1"} 3.0
x_seconds_bucket{call="get",le="+Inf"} 5.0
x_seconds_count{call="get"} 5.0
x_seconds_sum{call="get"} 1.0
"""


@contextlib.contextmanager
def _make_folder(**texts):
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        for stem, text in texts.items():
            (folder / stem).write_text(text)
        yield folder


def _log_text():
    return "\n".join(json.dumps(line) for line in LINES)


def test_report_contains_timeline_load_durations_and_histograms():
    """The page must be self-contained: it loads no script from elsewhere."""
    with _make_folder(log=_log_text(), metrics=METRICS) as folder:
        out = folder / "page.html"
        report.report([folder / "log"], [folder / "metrics"], out)
        text = out.read_text()
    for part in ("process.started", "store.lost", "Queue and hosts", "x_seconds"):
        assert part in text, part
    assert "job.ended completed" in text
    assert '<script src="http' not in text, "the page must need nothing else"


def test_other_log_lines_and_line_prefixes_are_skipped():
    """Other output and lines of another form may precede or follow decision lines."""
    text = "starting\n 10.1 e1 " + json.dumps(LINES[0]) + '\n{"at": 1}\n{"event": 2'
    with _make_folder(log=text) as folder:
        (line,) = report_inputs.read_log(folder / "log")
    assert (line.at, line.node, line.event) == (10.0, "e1", "process.started")


def test_buckets_are_grouped_by_name_and_labels():
    with _make_folder(metrics=METRICS) as folder:
        found = report_inputs.read_histograms(folder / "metrics")
    assert found["x_seconds (call=get)"] == [(0.1, 3.0), (float("inf"), 5.0)]


def test_unusable_files_are_refused_by_name():
    """A missing file, or one without events or metrics, must be named in the error."""
    with _make_folder(log="nothing here", metrics='x{le="a"') as folder:
        for read, name in (
            (report_inputs.read_log, "log"),
            (report_inputs.read_log, "missing"),
            (report_inputs.read_histograms, "metrics"),
        ):
            exc = fixtures.error_of(errors.Error, read, folder / name)
            assert exc.kind is errors.Kind.INVALID_SETTINGS and name in exc.detail


load_tests = collecting.hook(__name__)
