"""The interface of both stores, and failures of the one over HTTP."""

import concurrent.futures as futures
import contextlib
import socket
import threading
import time

from bilberrypass import errors
from bilberrypass.connection import etcd, memory, store
from testing import collecting, fixtures

_CALL_TIMEOUT_S = 10.0
_WATCH_TIMEOUT_S = 30.0
_SHORT_TIMEOUT_S = 0.5
_STOP_TIMEOUT_S = 10.0
_HISTORY_EVENTS = 8


def _deadline(seconds=_CALL_TIMEOUT_S):
    return time.monotonic() + seconds


class _Standin:
    """A running stand-in of the store and its fault switches."""

    def __init__(self, address):
        self.address = address

    def control(self, **switches):
        url = f"http://{self.address}/_control"
        answer = fixtures.http("PUT", url, switches, timeout_s=_CALL_TIMEOUT_S)
        assert answer.status == 200, answer

    def calls(self):
        url = f"http://{self.address}/_calls"
        answer = fixtures.http("GET", url, timeout_s=_CALL_TIMEOUT_S)
        return {kind: int(count) for kind, count in answer.json().items()}


@contextlib.contextmanager
def _standin():
    args = ["testing.standins.platform", "--port", "0"]
    with fixtures.process([*args, "--history", str(_HISTORY_EVENTS)]) as proc:
        assert proc.ready["role"] == proc.ready["id"] == "store", proc.ready
        yield _Standin(proc.addresses["store"])
        proc.terminate()
        assert proc.wait(_STOP_TIMEOUT_S) == 0, proc.stderr_text()


def _memory_store():
    return contextlib.closing(memory.MemoryStore(_HISTORY_EVENTS))


@contextlib.contextmanager
def _etcd():
    with _standin() as standin:
        with contextlib.closing(etcd.EtcdStore([standin.address])) as kv:
            yield kv, standin


@contextlib.contextmanager
def _etcd_store():
    with _etcd() as (kv, _):
        yield kv


def _on_both(check):
    """Return a test that runs a check against a new store of each kind."""

    def test():
        for open_store in (_memory_store, _etcd_store):
            with open_store() as kv:
                check(kv)

    return test


@contextlib.contextmanager
def _raises(kind, call="the call"):
    try:
        yield
    except errors.Error as exc:
        assert exc.kind is kind, f"{call}: {exc!r}, not {kind}"
    else:
        raise AssertionError(f"{call}: {kind} was not raised")


def _write(kv, key, value, expected=store.ABSENT, lease=store.NO_LEASE):
    swap = kv.swap(key, value, expected, _deadline(), lease)
    assert swap.done and swap.current is None, swap
    return swap.revision


def _collect(watch, count):
    """Return at least ``count`` of a watch's next events."""
    events = []
    for batch in watch:
        events += batch
        if len(events) >= count:
            return events
    raise AssertionError(f"the watch ended after {events}")


def _writes(kv):
    """Return one call of each method that writes, by the method's name."""
    return {
        "swap": lambda: kv.swap("a", b"1", store.ABSENT, _deadline()),
        "delete": lambda: kv.delete("a", 1, _deadline()),
        "grant": lambda: kv.grant(1, _deadline()),
        "renew": lambda: kv.renew(1, _deadline()),
        "revoke": lambda: kv.revoke(1, _deadline()),
    }


def _check_each_raises(kind, calls):
    for name, call in calls.items():
        with _raises(kind, name):
            call()


def _check_unanswered(kv, seconds=_CALL_TIMEOUT_S):
    """Check that a read fails as STORE_DOWN, and a write as STORE_UNCERTAIN."""
    with _raises(errors.Kind.STORE_DOWN):
        kv.get("a", _deadline(seconds))
    with _raises(errors.Kind.STORE_UNCERTAIN):
        kv.swap("a", b"1", store.ABSENT, _deadline(seconds))


@_on_both
def test_absent_key_is_none(kv):
    assert kv.get("a", _deadline()) is None


@_on_both
def test_swap_creates_only_what_is_absent(kv):
    revision = _write(kv, "a", b"1")
    item = store.Item("a", b"1", revision)
    assert kv.get("a", _deadline()) == item
    swap = kv.swap("a", b"2", store.ABSENT, _deadline())
    assert not swap.done and swap.current == item
    assert kv.get("a", _deadline()) == item


@_on_both
def test_swap_replaces_only_the_expected_revision(kv):
    first = _write(kv, "a", b"1")
    second = _write(kv, "a", b"2", first)
    assert second > first
    swap = kv.swap("a", b"3", first, _deadline())
    assert not swap.done and swap.current == store.Item("a", b"2", second)
    swap = kv.swap("b", b"3", first, _deadline())
    assert not swap.done and swap.current is None


@_on_both
def test_values_may_be_empty_binary_and_a_megabyte(kv):
    for key, value in (("a", b""), ("b", bytes(range(256))), ("c", b"\xff" * 2**20)):
        revision = _write(kv, key, value)
        assert kv.get(key, _deadline()) == store.Item(key, value, revision)


@_on_both
def test_list_returns_items_with_the_prefix_in_order(kv):
    for key in ("job/b", "job/a", "job", "joc", "job/é"):
        _write(kv, key, key.encode())
    listing = kv.list("job/", _deadline())
    assert [item.key for item in listing.items] == ["job/a", "job/b", "job/é"]
    assert [item.value for item in listing.items][0] == b"job/a"
    assert listing.revision >= max(item.revision for item in listing.items)
    assert len(kv.list("", _deadline()).items) == 5
    assert kv.list("other", _deadline()).items == []


@_on_both
def test_delete_removes_only_the_expected_revision(kv):
    revision = _write(kv, "a", b"1")
    swap = kv.delete("a", revision - 1, _deadline())
    assert not swap.done and swap.current == store.Item("a", b"1", revision)
    swap = kv.delete("a", revision, _deadline())
    assert swap.done and swap.revision > revision
    assert kv.get("a", _deadline()) is None
    again = kv.delete("a", revision, _deadline())
    assert not again.done and again.current is None


@_on_both
def test_one_of_many_concurrent_swaps_succeeds(kv):
    start = threading.Barrier(8)

    def race(index):
        start.wait()
        return kv.swap("a", str(index).encode(), store.ABSENT, _deadline())

    with futures.ThreadPoolExecutor(8) as pool:
        outcomes = list(pool.map(race, range(8)))
    assert len(outcomes) == 8
    assert sum(swap.done for swap in outcomes) == 1


@_on_both
def test_call_after_its_deadline_has_no_effect(kv):
    with _raises(errors.Kind.STORE_DOWN):
        kv.swap("a", b"1", store.ABSENT, time.monotonic())
    assert kv.get("a", _deadline()) is None


@_on_both
def test_expired_lease_deletes_its_keys(kv):
    lease = kv.grant(1, _deadline())
    _write(kv, "held", b"1", lease=lease)
    revision = _write(kv, "kept", b"1")
    events = _collect(kv.watch("", revision, _deadline(_WATCH_TIMEOUT_S)), 1)
    assert [(event.key, event.value) for event in events] == [("held", None)]
    assert kv.get("held", _deadline()) is None
    assert kv.get("kept", _deadline()) is not None
    assert kv.renew(lease, _deadline()) is False
    with _raises(errors.Kind.STORE_DOWN):
        kv.swap("late", b"1", store.ABSENT, _deadline(), lease)


@_on_both
def test_renewed_lease_outlasts_its_first_expiry(kv):
    lease = kv.grant(2, _deadline())
    _write(kv, "held", b"1", lease=lease)
    first_deadline = time.monotonic() + 2
    while time.monotonic() < first_deadline + 0.5:
        assert kv.renew(lease, _deadline()) is True
        time.sleep(0.1)
    assert kv.get("held", _deadline()) is not None


@_on_both
def test_revoked_lease_deletes_its_keys(kv):
    lease = kv.grant(60, _deadline())
    for key in ("a", "b"):
        _write(kv, key, b"1", lease=lease)
    kv.revoke(lease, _deadline())
    kv.revoke(lease, _deadline())
    assert kv.list("", _deadline()).items == []
    assert kv.renew(lease, _deadline()) is False


@_on_both
def test_write_without_lease_detaches_the_key_from_it(kv):
    lease = kv.grant(60, _deadline())
    revision = _write(kv, "a", b"1", lease=lease)
    _write(kv, "a", b"2", revision)
    kv.revoke(lease, _deadline())
    assert kv.get("a", _deadline()).value == b"2"


@_on_both
def test_watch_yields_past_and_future_changes_in_order(kv):
    start = kv.list("", _deadline()).revision
    first = _write(kv, "w/a", b"1")
    _write(kv, "x", b"other")
    watch = kv.watch("w/", start, _deadline(_WATCH_TIMEOUT_S))
    assert _collect(watch, 1) == [store.Event("w/a", b"1", first)]
    second = _write(kv, "w/a", b"", first)
    deleted = kv.delete("w/a", second, _deadline()).revision
    assert _collect(watch, 2) == [
        store.Event("w/a", b"", second),
        store.Event("w/a", None, deleted),
    ]
    watch.close()


@_on_both
def test_idle_watch_yields_and_ends_at_its_deadline(kv):
    revision = _write(kv, "a", b"1")
    deadline = _deadline(2.5)
    batches = list(kv.watch("", revision, deadline))
    assert len(batches) >= 2 and not any(batches)
    assert time.monotonic() >= deadline


@_on_both
def test_watch_from_a_dropped_revision_is_rejected(kv):
    start = kv.list("", _deadline()).revision
    revision = store.ABSENT
    for index in range(_HISTORY_EVENTS + 2):
        revision = _write(kv, "a", str(index).encode(), revision)
    with _raises(errors.Kind.STORE_DOWN):
        list(kv.watch("", start, _deadline(_WATCH_TIMEOUT_S)))


@_on_both
def test_watch_survives_dropped_history_of_other_keys(kv):
    start = kv.list("", _deadline()).revision
    watch = kv.watch("w/", start, _deadline(_WATCH_TIMEOUT_S))
    revision = store.ABSENT
    for index in range(2 * _HISTORY_EVENTS):
        revision = _write(kv, "a", str(index).encode(), revision)
        if index % _HISTORY_EVENTS == _HISTORY_EVENTS // 2:
            # Two idle batches, since the first may have begun before the last write.
            assert next(watch) == next(watch) == []
    written = _write(kv, "w/a", b"1")
    assert _collect(watch, 1) == [store.Event("w/a", b"1", written)]
    watch.close()


@_on_both
def test_close_ends_a_waiting_watch(kv):
    began = threading.Event()
    ended = threading.Event()

    def wait():
        for _ in kv.watch("", 1, _deadline(_WATCH_TIMEOUT_S)):
            began.set()
        ended.set()

    threading.Thread(target=wait, daemon=True).start()
    assert began.wait(_CALL_TIMEOUT_S)
    kv.close()
    assert ended.wait(_CALL_TIMEOUT_S)
    with _raises(errors.Kind.STORE_DOWN):
        kv.get("a", _deadline())
    assert list(kv.watch("", 1, _deadline())) == []


def _unused_address():
    return f"127.0.0.1:{fixtures.free_port()}"


def test_refused_connection_had_no_effect():
    with contextlib.closing(etcd.EtcdStore([_unused_address()])) as kv:
        reads = {
            "get": lambda: kv.get("a", _deadline()),
            "watch": lambda: list(kv.watch("", 1, _deadline())),
        }
        _check_each_raises(errors.Kind.STORE_DOWN, reads | _writes(kv))


@contextlib.contextmanager
def _scripted_store(*pieces):
    """Answer one request with some pieces, each but the first after a delay."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve():
            conn, _ = listener.accept()
            with conn, contextlib.suppress(OSError):
                conn.recv(1 << 16)
                conn.sendall(pieces[0])
                for piece in pieces[1:]:
                    time.sleep(_SHORT_TIMEOUT_S / 4)
                    conn.sendall(piece)

        thread = threading.Thread(target=serve)
        thread.start()
        host, port = listener.getsockname()
        with contextlib.closing(etcd.EtcdStore([f"{host}:{port}"])) as kv:
            yield kv
        thread.join()


def _check_failures(*pieces, write_kind=errors.Kind.STORE_UNCERTAIN):
    """Check that a read fails as STORE_DOWN, and a write as ``write_kind``."""
    with _scripted_store(*pieces) as kv, _raises(errors.Kind.STORE_DOWN, pieces):
        kv.get("a", _deadline(_SHORT_TIMEOUT_S))
    with _scripted_store(*pieces) as kv, _raises(write_kind, pieces):
        kv.swap("a", b"1", store.ABSENT, _deadline(_SHORT_TIMEOUT_S))


def _format_answer(status, body, length=None):
    length = len(body) if length is None else length
    return f"HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{body}".encode()


def test_malformed_response_may_have_had_an_effect():
    for answer in (
        _format_answer(200, '{"header":'),
        _format_answer(200, '{"header": 3}'),
        _format_answer(200, "{}"),
        _format_answer(200, "{}", length=3),
        _format_answer(503, '{"code": 14}'),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{}",
        b"nonsense\r\n\r\n",
    ):
        _check_failures(answer)


def test_rejected_request_had_no_effect():
    refusal = _format_answer(400, '{"code": 3}')
    _check_failures(refusal, write_kind=errors.Kind.STORE_DOWN)


def test_slow_response_ends_at_the_deadline():
    whole = _format_answer(200, "{" + " " * 40 + "}")
    _check_failures(whole[:-40], *(bytes([byte]) for byte in whole[-40:]))


def test_next_address_is_used_if_one_refuses_connections():
    with _standin() as standin:
        addresses = [_unused_address(), standin.address]
        with contextlib.closing(etcd.EtcdStore(addresses)) as kv:
            _write(kv, "a", b"1")


def test_closed_connections_leave_writes_uncertain():
    with _etcd() as (kv, standin):
        standin.control(down=True)
        with _raises(errors.Kind.STORE_DOWN):
            kv.get("a", _deadline())
        with _raises(errors.Kind.STORE_DOWN):
            kv.list("a", _deadline())
        _check_each_raises(errors.Kind.STORE_UNCERTAIN, _writes(kv))
        standin.control(down=False)
        assert kv.list("", _deadline()).items == []


def test_each_failed_call_reaches_the_store_once():
    with _etcd() as (kv, standin):
        standin.control(down=True)
        _check_unanswered(kv)
        assert standin.calls() == {"range": 1, "txn": 1}


def test_outage_ends_an_open_watch():
    with _etcd() as (kv, standin):
        watch = kv.watch("", 1, _deadline(_WATCH_TIMEOUT_S))
        next(watch)
        standin.control(down=True)
        with _raises(errors.Kind.STORE_DOWN):
            list(watch)


def test_lost_response_is_uncertain_after_the_write():
    with _etcd() as (kv, standin):
        standin.control(lose_answers=1)
        with _raises(errors.Kind.STORE_UNCERTAIN):
            kv.swap("a", b"1", store.ABSENT, _deadline())
        assert kv.get("a", _deadline()).value == b"1"
        _write(kv, "b", b"1")


def test_slow_store_is_uncertain_for_writes_and_down_for_reads():
    with _etcd() as (kv, standin):
        standin.control(delay_s=2 * _SHORT_TIMEOUT_S)
        _check_unanswered(kv, _SHORT_TIMEOUT_S)
        standin.control(delay_s=0)
        # The write arrives after its caller has stopped waiting for it.
        arrived = lambda: kv.get("a", _deadline()) is not None
        fixtures.wait_until(arrived, _CALL_TIMEOUT_S, "the late write")


def test_silent_store_is_uncertain_for_writes_and_down_for_reads():
    with _etcd() as (kv, standin):
        standin.control(silent=True)
        _check_unanswered(kv, _SHORT_TIMEOUT_S)
        standin.control(silent=False)
        assert kv.get("a", _deadline()) is None


def test_silent_watch_fails_while_the_store_stays_silent():
    with _etcd() as (kv, standin):
        watch = kv.watch("", 1, _deadline(_WATCH_TIMEOUT_S))
        next(watch)
        standin.control(silent=True)
        with _raises(errors.Kind.STORE_DOWN):
            for batch in watch:
                assert batch == []


def test_watch_continues_on_a_new_connection_after_silence():
    with _etcd() as (kv, standin):
        revision = _write(kv, "a", b"1")
        watch = kv.watch("", revision, _deadline(_WATCH_TIMEOUT_S))
        next(watch)
        standin.control(silent_watches=True)
        second = _write(kv, "a", b"2", revision)
        assert _collect(watch, 1) == [store.Event("a", b"2", second)]
        assert standin.calls()["watch"] >= 2
        watch.close()


def test_dropped_leases_delete_their_keys():
    with _etcd() as (kv, standin):
        first, second = (kv.grant(60, _deadline()) for _ in range(2))
        _write(kv, "a", b"1", lease=first)
        _write(kv, "b", b"1", lease=second)
        standin.control(drop_leases=[first])
        assert [item.key for item in kv.list("", _deadline()).items] == ["b"]
        assert kv.renew(first, _deadline()) is False
        assert kv.renew(second, _deadline()) is True
        standin.control(drop_leases="all")
        assert kv.list("", _deadline()).items == []
        assert kv.renew(second, _deadline()) is False


def test_stand_in_counts_calls_by_kind_and_a_watch_once():
    with _etcd() as (kv, standin):
        revision = _write(kv, "a", b"1")
        kv.get("a", _deadline())
        kv.list("a", _deadline())
        kv.renew(kv.grant(60, _deadline()), _deadline())
        assert not any(kv.watch("", revision, _deadline(3.0)))
        counts = {"txn": 1, "range": 2, "lease_grant": 1, "lease_keepalive": 1}
        assert standin.calls() == counts | {"watch": 1}


def test_stand_in_serves_many_waiting_watches():
    with _etcd() as (kv, standin):
        watches = [kv.watch("w", 1, _deadline(_WATCH_TIMEOUT_S)) for _ in range(64)]
        for watch in watches:
            next(watch)
        revision = _write(kv, "w", b"1")
        for watch in watches:
            assert _collect(watch, 1) == [store.Event("w", b"1", revision)]
            watch.close()


def test_stand_in_rejects_unknown_switches():
    with _standin() as standin:
        try:
            standin.control(dwon=True)
        except AssertionError:
            return
        raise AssertionError("an unknown switch was accepted")


class _FailingSwaps:
    """Forwards calls to a store, and lets swaps fail as a script prescribes.

    ``lost`` is an error before the effect, ``late`` one after it, and
    ``late_overwritten`` one after the effect and after another write replaced it.
    """

    def __init__(self, inner, script):
        self._inner = inner
        self._script = list(script)
        self.swaps = 0

    def __getattr__(self, name):
        return getattr(self._inner, name)

    def swap(self, key, value, expected, deadline, lease=store.NO_LEASE):
        self.swaps += 1
        step = self._script.pop(0) if self._script else "answered"
        if step == "down":
            raise errors.Error(errors.Kind.STORE_DOWN, step)
        if step == "lost":
            raise errors.Error(errors.Kind.STORE_UNCERTAIN, step)
        swap = self._inner.swap(key, value, expected, deadline, lease)
        if step == "late_overwritten":
            self._inner.swap(key, b"other", swap.revision, deadline)
        if step != "answered":
            raise errors.Error(errors.Kind.STORE_UNCERTAIN, step)
        return swap


def _swap_until_certain(script, swaps):
    """Replace b"1" by b"mine", and check the number of attempts."""
    with _memory_store() as inner:
        answers = _FailingSwaps(inner, script)
        revision = _write(inner, "a", b"1")
        swap = store.swap_until_certain(answers, "a", b"mine", revision, _deadline())
        assert answers.swaps == swaps, answers.swaps
        return swap, inner.get("a", _deadline())


def test_swap_until_certain_returns_a_certain_outcome():
    swap, item = _swap_until_certain([], swaps=1)
    assert swap.done and item == store.Item("a", b"mine", swap.revision)


def test_swap_until_certain_finds_its_own_write():
    swap, item = _swap_until_certain(["late"], swaps=1)
    assert swap.done and item == store.Item("a", b"mine", swap.revision)


def test_swap_until_certain_repeats_a_write_without_effect():
    swap, item = _swap_until_certain(["lost", "lost", "down"], swaps=4)
    assert swap.done and item == store.Item("a", b"mine", swap.revision)


def test_swap_until_certain_finds_its_own_write_after_a_repeat():
    swap, item = _swap_until_certain(["lost", "late"], swaps=2)
    assert swap.done and item == store.Item("a", b"mine", swap.revision)


def test_swap_until_certain_reports_a_write_that_was_replaced():
    swap, item = _swap_until_certain(["late_overwritten"], swaps=1)
    assert not swap.done and swap.current == item and item.value == b"other"


def test_swap_until_certain_recognises_its_own_late_write():
    class Late(_FailingSwaps):
        """The lost write arrives between the read-back and the retry."""

        def get(self, key, deadline):
            item = self._inner.get(key, deadline)
            self._inner.swap(key, b"mine", item.revision, deadline)
            return item

    with _memory_store() as inner:
        revision = _write(inner, "a", b"1")
        answers = Late(inner, ["lost"])
        swap = store.swap_until_certain(answers, "a", b"mine", revision, _deadline())
        assert swap.done and answers.swaps == 2
        assert inner.get("a", _deadline()) == store.Item("a", b"mine", swap.revision)


def test_swap_until_certain_raises_at_once_if_the_store_is_down():
    with _memory_store() as inner:
        answers = _FailingSwaps(inner, ["down"])
        with _raises(errors.Kind.STORE_DOWN):
            store.swap_until_certain(answers, "a", b"1", store.ABSENT, _deadline())
        assert answers.swaps == 1


def test_swap_until_certain_is_uncertain_after_its_deadline():
    with _memory_store() as inner:
        answers = _FailingSwaps(inner, ["lost"] * 1000)
        deadline = _deadline(_SHORT_TIMEOUT_S)
        with _raises(errors.Kind.STORE_UNCERTAIN):
            store.swap_until_certain(answers, "a", b"1", store.ABSENT, deadline)
        assert time.monotonic() >= deadline


def test_swap_until_certain_over_http_after_lost_responses():
    with _etcd() as (kv, standin):
        standin.control(lose_answers=1)
        swap = store.swap_until_certain(kv, "a", b"mine", store.ABSENT, _deadline())
        assert swap.done
        assert kv.get("a", _deadline()) == store.Item("a", b"mine", swap.revision)
        assert standin.calls()["txn"] == 1


def test_swap_until_certain_over_http_outlasts_an_outage():
    with _etcd() as (kv, standin):
        standin.control(silent=True)
        with futures.ThreadPoolExecutor(1) as pool:
            call = (kv, "a", b"mine", store.ABSENT, _deadline(_WATCH_TIMEOUT_S))
            swapping = pool.submit(store.swap_until_certain, *call)
            was_read_back = lambda: standin.calls().get("range", 0) >= 1
            fixtures.wait_until(was_read_back, _CALL_TIMEOUT_S, "the read-back")
            standin.control(silent=False)
        swap = swapping.result()
        assert swap.done
        assert kv.get("a", _deadline()) == store.Item("a", b"mine", swap.revision)


load_tests = collecting.hook(__name__)
