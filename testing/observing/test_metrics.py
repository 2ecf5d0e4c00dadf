"""Metrics as a statsd server receives them, and the page that lists them."""

import contextlib
import pathlib
import re
import socket
import subprocess
import sys
import threading

from bilberrypass.observing import metrics
from testing import collecting, fixtures, system

_PAGE = pathlib.Path(__file__).parent.parent.parent / "docs/METRICS.md"
_ENTRY_NAMES = """
requests request_ms refusals.UNKNOWN_SERVICE in_progress reports hosts revision
tasks_placed tasks_ended.finished store_calls.swap store_ms.swap
"""
_AGENT_NAMES = """
requests request_ms reports revision slots slots_in_use queued tasks tasks_started
cpu_milli_committed memory_bytes_committed
"""
_ROW = re.compile(r"^\| `([a-z_]+)(?:\.<\w+>)?` \|", re.M)


@contextlib.contextmanager
def _statsd_server():
    """Run a statsd server; yield its address and the set of names received."""
    names: set[str] = set()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(0.2)
        done = threading.Event()

        def read():
            while not done.is_set():
                with contextlib.suppress(TimeoutError):
                    text = sock.recv(65536).decode()
                    names.update(line.partition(":")[0] for line in text.splitlines())

        reader = threading.Thread(target=read)
        reader.start()
        try:
            yield f"127.0.0.1:{sock.getsockname()[1]}", names
        finally:
            done.set()
            reader.join()


def test_page_lists_every_statsd_metric():
    assert set(_ROW.findall(_PAGE.read_text())) == {name.value for name in metrics.Name}


def test_processes_send_the_listed_metrics():
    with _statsd_server() as (address, names):
        changes = {"metrics": {"statsd": address, "prefix": "bp"}}
        with system.system(entry_changes=changes, agent_changes=changes) as run:
            url = run.callers() + "/services/echo/x"
            fixtures.wait_ok(url, 10, "a successful request")
            fixtures.http("GET", run.callers() + "/services/no/x")
            system.put_job(run.callers() + "/jobs/j1")
            expected = {f"bp.entry.e0.{name}" for name in _ENTRY_NAMES.split()}
            expected |= {f"bp.agent.h0.{name}" for name in _AGENT_NAMES.split()}
            fixtures.wait_until(lambda: expected <= names, 15, "all metrics")
            run.store.kill()
            fixtures.wait_until(
                lambda: "bp.entry.e0.store_errors.STORE_DOWN" in names,
                15,
                "errors",
            )
            for entry in run.entries:
                entry.kill()
            fixtures.wait_until(
                lambda: "bp.agent.h0.report_failures" in names, 15, "failed reports"
            )


def test_disabled_metrics_and_traces_import_no_client_library():
    """Guards against importing statsd or opentelemetry while both are disabled."""
    probe = (
        "import sys; from bilberrypass.observing import metrics, traces; "
        "from bilberrypass.process import entry, agent; "
        "metrics.install({'prefix': 'bp'}, 'entry', 'e0'); "
        "traces.install({'exporter': 'none'}, 'entry', 'e0'); "
        "metrics.count(metrics.Name.REQUESTS); "
        "traces.span('entry', '').__enter__(); "
        "print([m for m in ('statsd', 'opentelemetry') if m in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", probe], capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "[]", done.stdout


load_tests = collecting.hook(__name__)
