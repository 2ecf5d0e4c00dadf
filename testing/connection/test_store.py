"""What both stores promise, and how the one over HTTP fails."""

import concurrent.futures as futures
import contextlib
import socket
import threading
import time

from bilberrypass import errors
from bilberrypass.connection import etcd, memory, store
from testing import collecting, fixtures

_CALL_S = 10.0
_WATCH_S = 30.0
_SHORT_S = 0.5
_STOP_S = 10.0
_HISTORY_EVENTS = 8


def _soon(seconds=_CALL_S):
    return time.monotonic() + seconds


class _Standin:
    """A stand-in's address and its switches."""

    def __init__(self, address):
        self.address = address

    def control(self, **switches):
        url = f"http://{self.address}/_control"
        answer = fixtures.http("PUT", url, switches, timeout_s=_CALL_S)
        assert answer.status == 200, answer

    def calls(self):
        url = f"http://{self.address}/_calls"
        answer = fixtures.http("GET", url, timeout_s=_CALL_S)
        return {kind: int(count) for kind, count in answer.json().items()}


@contextlib.contextmanager
def _standin():
    args = ["testing.standins.platform", "--port", "0"]
    with fixtures.process([*args, "--history", str(_HISTORY_EVENTS)]) as proc:
        assert proc.ready["role"] == proc.ready["id"] == "store", proc.ready
        yield _Standin(proc.addresses["store"])
        proc.terminate()
        assert proc.wait(_STOP_S) == 0, proc.stderr_text()


def _memory_store():
    return contextlib.closing(memory.MemoryStore(_HISTORY_EVENTS))


@contextlib.contextmanager
def _etcd():
    with _standin() as standin:
        with contextlib.closing(etcd.EtcdStore([standin.address])) as opened:
            yield opened, standin


@contextlib.contextmanager
def _etcd_store():
    with _etcd() as (opened, _):
        yield opened


def _on_both(check):
    """Return a test that runs a check against a fresh store of each kind."""

    def test():
        for opening in (_memory_store, _etcd_store):
            with opening() as opened:
                check(opened)

    return test


@contextlib.contextmanager
def _raises(kind, call="the call"):
    try:
        yield
    except errors.Error as exc:
        assert exc.kind is kind, f"{call}: {exc!r}, not {kind}"
    else:
        raise AssertionError(f"{call}: {kind} was not raised")


def _write(opened, key, value, expected=store.ABSENT, lease=store.NO_LEASE):
    swap = opened.swap(key, value, expected, _soon(), lease)
    assert swap.done and swap.current is None, swap
    return swap.revision


def _collect(watch, count):
    """Return the next events of a watch."""
    events = []
    for batch in watch:
        events += batch
        if len(events) >= count:
            return events
    raise AssertionError(f"the watch ended after {events}")


def _writes(opened):
    """Return a call of each kind that writes, by its name."""
    return {
        "swap": lambda: opened.swap("a", b"1", store.ABSENT, _soon()),
        "delete": lambda: opened.delete("a", 1, _soon()),
        "grant": lambda: opened.grant(1, _soon()),
        "renew": lambda: opened.renew(1, _soon()),
        "revoke": lambda: opened.revoke(1, _soon()),
    }


def _check_each_raises(kind, calls):
    for name, call in calls.items():
        with _raises(kind, name):
            call()


def _check_unanswered(opened, seconds=_CALL_S):
    """Check that a read is told to have failed, and a write to be uncertain."""
    with _raises(errors.Kind.STORE_DOWN):
        opened.get("a", _soon(seconds))
    with _raises(errors.Kind.STORE_UNCERTAIN):
        opened.swap("a", b"1", store.ABSENT, _soon(seconds))


@_on_both
def test_absent_key_is_none(opened):
    assert opened.get("a", _soon()) is None


@_on_both
def test_swap_creates_only_what_is_absent(opened):
    revision = _write(opened, "a", b"1")
    item = store.Item("a", b"1", revision)
    assert opened.get("a", _soon()) == item
    swap = opened.swap("a", b"2", store.ABSENT, _soon())
    assert not swap.done and swap.current == item
    assert opened.get("a", _soon()) == item


@_on_both
def test_swap_replaces_only_the_expected_revision(opened):
    first = _write(opened, "a", b"1")
    second = _write(opened, "a", b"2", first)
    assert second > first
    swap = opened.swap("a", b"3", first, _soon())
    assert not swap.done and swap.current == store.Item("a", b"2", second)
    swap = opened.swap("b", b"3", first, _soon())
    assert not swap.done and swap.current is None


@_on_both
def test_values_may_be_empty_binary_and_a_megabyte(opened):
    for key, value in (("a", b""), ("b", bytes(range(256))), ("c", b"\xff" * 2**20)):
        revision = _write(opened, key, value)
        assert opened.get(key, _soon()) == store.Item(key, value, revision)


@_on_both
def test_list_gives_what_is_below_the_prefix_in_order(opened):
    for key in ("job/b", "job/a", "job", "joc", "job/é"):
        _write(opened, key, key.encode())
    listing = opened.list("job/", _soon())
    assert [item.key for item in listing.items] == ["job/a", "job/b", "job/é"]
    assert [item.value for item in listing.items][0] == b"job/a"
    assert listing.revision >= max(item.revision for item in listing.items)
    assert len(opened.list("", _soon()).items) == 5
    assert opened.list("other", _soon()).items == []


@_on_both
def test_delete_takes_only_the_expected_revision(opened):
    revision = _write(opened, "a", b"1")
    swap = opened.delete("a", revision - 1, _soon())
    assert not swap.done and swap.current == store.Item("a", b"1", revision)
    swap = opened.delete("a", revision, _soon())
    assert swap.done and swap.revision > revision
    assert opened.get("a", _soon()) is None
    again = opened.delete("a", revision, _soon())
    assert not again.done and again.current is None


@_on_both
def test_one_of_many_swaps_at_once_wins(opened):
    start = threading.Barrier(8)

    def race(index):
        start.wait()
        return opened.swap("a", str(index).encode(), store.ABSENT, _soon())

    with futures.ThreadPoolExecutor(8) as pool:
        outcomes = list(pool.map(race, range(8)))
    assert len(outcomes) == 8
    assert sum(swap.done for swap in outcomes) == 1


@_on_both
def test_a_passed_deadline_has_no_effect(opened):
    with _raises(errors.Kind.STORE_DOWN):
        opened.swap("a", b"1", store.ABSENT, time.monotonic())
    assert opened.get("a", _soon()) is None


@_on_both
def test_lapsed_lease_takes_its_keys_along(opened):
    lease = opened.grant(1, _soon())
    _write(opened, "held", b"1", lease=lease)
    revision = _write(opened, "kept", b"1")
    events = _collect(opened.watch("", revision, _soon(_WATCH_S)), 1)
    assert [(event.key, event.value) for event in events] == [("held", None)]
    assert opened.get("held", _soon()) is None
    assert opened.get("kept", _soon()) is not None
    assert opened.renew(lease, _soon()) is False
    with _raises(errors.Kind.STORE_DOWN):
        opened.swap("late", b"1", store.ABSENT, _soon(), lease)


@_on_both
def test_renewed_lease_outlasts_its_first_deadline(opened):
    lease = opened.grant(2, _soon())
    _write(opened, "held", b"1", lease=lease)
    first_deadline = time.monotonic() + 2
    while time.monotonic() < first_deadline + 0.5:
        assert opened.renew(lease, _soon()) is True
        time.sleep(0.1)
    assert opened.get("held", _soon()) is not None


@_on_both
def test_revoked_lease_takes_its_keys_along(opened):
    lease = opened.grant(60, _soon())
    for key in ("a", "b"):
        _write(opened, key, b"1", lease=lease)
    opened.revoke(lease, _soon())
    opened.revoke(lease, _soon())
    assert opened.list("", _soon()).items == []
    assert opened.renew(lease, _soon()) is False


@_on_both
def test_write_without_lease_frees_the_key_from_it(opened):
    lease = opened.grant(60, _soon())
    revision = _write(opened, "a", b"1", lease=lease)
    _write(opened, "a", b"2", revision)
    opened.revoke(lease, _soon())
    assert opened.get("a", _soon()).value == b"2"


@_on_both
def test_watch_gives_past_and_coming_changes_in_order(opened):
    start = opened.list("", _soon()).revision
    first = _write(opened, "w/a", b"1")
    _write(opened, "x", b"other")
    watch = opened.watch("w/", start, _soon(_WATCH_S))
    assert _collect(watch, 1) == [store.Event("w/a", b"1", first)]
    second = _write(opened, "w/a", b"", first)
    deleted = opened.delete("w/a", second, _soon()).revision
    assert _collect(watch, 2) == [
        store.Event("w/a", b"", second),
        store.Event("w/a", None, deleted),
    ]
    watch.close()


@_on_both
def test_idle_watch_yields_and_ends_at_its_deadline(opened):
    revision = _write(opened, "a", b"1")
    deadline = _soon(2.5)
    batches = list(opened.watch("", revision, deadline))
    assert len(batches) >= 2 and not any(batches)
    assert time.monotonic() >= deadline


@_on_both
def test_watch_from_a_forgotten_revision_is_refused(opened):
    start = opened.list("", _soon()).revision
    revision = store.ABSENT
    for index in range(_HISTORY_EVENTS + 2):
        revision = _write(opened, "a", str(index).encode(), revision)
    with _raises(errors.Kind.STORE_DOWN):
        list(opened.watch("", start, _soon(_WATCH_S)))


@_on_both
def test_watch_outlives_the_forgetting_of_other_keys(opened):
    start = opened.list("", _soon()).revision
    watch = opened.watch("w/", start, _soon(_WATCH_S))
    revision = store.ABSENT
    for index in range(2 * _HISTORY_EVENTS):
        revision = _write(opened, "a", str(index).encode(), revision)
        if index % _HISTORY_EVENTS == _HISTORY_EVENTS // 2:
            # Two idle batches: the first may have begun before the last write.
            assert next(watch) == next(watch) == []
    written = _write(opened, "w/a", b"1")
    assert _collect(watch, 1) == [store.Event("w/a", b"1", written)]
    watch.close()


@_on_both
def test_close_ends_a_waiting_watch(opened):
    began = threading.Event()
    ended = threading.Event()

    def wait():
        for _ in opened.watch("", 1, _soon(_WATCH_S)):
            began.set()
        ended.set()

    threading.Thread(target=wait, daemon=True).start()
    assert began.wait(_CALL_S)
    opened.close()
    assert ended.wait(_CALL_S)
    with _raises(errors.Kind.STORE_DOWN):
        opened.get("a", _soon())
    assert list(opened.watch("", 1, _soon())) == []


def _unused_address():
    return f"127.0.0.1:{fixtures.free_port()}"


def test_refused_connection_had_no_effect():
    with contextlib.closing(etcd.EtcdStore([_unused_address()])) as opened:
        reads = {
            "get": lambda: opened.get("a", _soon()),
            "watch": lambda: list(opened.watch("", 1, _soon())),
        }
        _check_each_raises(errors.Kind.STORE_DOWN, reads | _writes(opened))


@contextlib.contextmanager
def _answering(*pieces):
    """Answer one request with some pieces, each but the first after a pause."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve():
            conn, _ = listener.accept()
            with conn, contextlib.suppress(OSError):
                conn.recv(1 << 16)
                conn.sendall(pieces[0])
                for piece in pieces[1:]:
                    time.sleep(_SHORT_S / 4)
                    conn.sendall(piece)

        thread = threading.Thread(target=serve)
        thread.start()
        host, port = listener.getsockname()
        with contextlib.closing(etcd.EtcdStore([f"{host}:{port}"])) as opened:
            yield opened
        thread.join()


def _check_answer(*pieces, write_kind=errors.Kind.STORE_UNCERTAIN):
    """Check that a read is told to have failed, and a write as the kind says."""
    with _answering(*pieces) as opened, _raises(errors.Kind.STORE_DOWN, pieces):
        opened.get("a", _soon(_SHORT_S))
    with _answering(*pieces) as opened, _raises(write_kind, pieces):
        opened.swap("a", b"1", store.ABSENT, _soon(_SHORT_S))


def _format_answer(status, body, length=None):
    length = len(body) if length is None else length
    return f"HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{body}".encode()


def test_malformed_answer_may_have_had_an_effect():
    for answer in (
        _format_answer(200, '{"header":'),
        _format_answer(200, '{"header": 3}'),
        _format_answer(200, "{}"),
        _format_answer(200, "{}", length=3),
        _format_answer(503, '{"code": 14}'),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{}",
        b"nonsense\r\n\r\n",
    ):
        _check_answer(answer)


def test_refused_request_had_no_effect():
    refusal = _format_answer(400, '{"code": 3}')
    _check_answer(refusal, write_kind=errors.Kind.STORE_DOWN)


def test_trickling_answer_is_given_up_at_the_deadline():
    whole = _format_answer(200, "{" + " " * 40 + "}")
    _check_answer(whole[:-40], *(bytes([byte]) for byte in whole[-40:]))


def test_next_address_serves_when_one_refuses():
    with _standin() as standin:
        addresses = [_unused_address(), standin.address]
        with contextlib.closing(etcd.EtcdStore(addresses)) as opened:
            _write(opened, "a", b"1")


def test_store_that_cuts_connections_leaves_writes_uncertain():
    with _etcd() as (opened, standin):
        standin.control(down=True)
        with _raises(errors.Kind.STORE_DOWN):
            opened.get("a", _soon())
        with _raises(errors.Kind.STORE_DOWN):
            opened.list("a", _soon())
        _check_each_raises(errors.Kind.STORE_UNCERTAIN, _writes(opened))
        standin.control(down=False)
        assert opened.list("", _soon()).items == []


def test_each_failed_call_reaches_the_store_once():
    with _etcd() as (opened, standin):
        standin.control(down=True)
        _check_unanswered(opened)
        assert standin.calls() == {"range": 1, "txn": 1}


def test_outage_ends_an_open_watch():
    with _etcd() as (opened, standin):
        watch = opened.watch("", 1, _soon(_WATCH_S))
        next(watch)
        standin.control(down=True)
        with _raises(errors.Kind.STORE_DOWN):
            list(watch)


def test_lost_answer_is_uncertain_after_the_write():
    with _etcd() as (opened, standin):
        standin.control(lose_answers=1)
        with _raises(errors.Kind.STORE_UNCERTAIN):
            opened.swap("a", b"1", store.ABSENT, _soon())
        assert opened.get("a", _soon()).value == b"1"
        _write(opened, "b", b"1")


def test_slow_store_is_uncertain_for_writes_and_down_for_reads():
    with _etcd() as (opened, standin):
        standin.control(delay_s=2 * _SHORT_S)
        _check_unanswered(opened, _SHORT_S)
        standin.control(delay_s=0)
        # The write arrives after its caller has given it up.
        arrived = lambda: opened.get("a", _soon()) is not None
        fixtures.wait_until(arrived, _CALL_S, "the late write")


def test_silent_store_is_uncertain_for_writes_and_down_for_reads():
    with _etcd() as (opened, standin):
        standin.control(silent=True)
        _check_unanswered(opened, _SHORT_S)
        standin.control(silent=False)
        assert opened.get("a", _soon()) is None


def test_silent_watch_is_noticed_while_the_store_stays_silent():
    with _etcd() as (opened, standin):
        watch = opened.watch("", 1, _soon(_WATCH_S))
        next(watch)
        standin.control(silent=True)
        with _raises(errors.Kind.STORE_DOWN):
            for batch in watch:
                assert batch == []


def test_watch_on_a_silent_connection_goes_on_over_a_fresh_one():
    with _etcd() as (opened, standin):
        revision = _write(opened, "a", b"1")
        watch = opened.watch("", revision, _soon(_WATCH_S))
        next(watch)
        standin.control(silent_watches=True)
        second = _write(opened, "a", b"2", revision)
        assert _collect(watch, 1) == [store.Event("a", b"2", second)]
        assert standin.calls()["watch"] >= 2
        watch.close()


def test_dropped_leases_take_their_keys_along():
    with _etcd() as (opened, standin):
        first, second = (opened.grant(60, _soon()) for _ in range(2))
        _write(opened, "a", b"1", lease=first)
        _write(opened, "b", b"1", lease=second)
        standin.control(drop_leases=[first])
        assert [item.key for item in opened.list("", _soon()).items] == ["b"]
        assert opened.renew(first, _soon()) is False
        assert opened.renew(second, _soon()) is True
        standin.control(drop_leases="all")
        assert opened.list("", _soon()).items == []
        assert opened.renew(second, _soon()) is False


def test_calls_are_counted_by_kind_and_a_waiting_watch_once():
    with _etcd() as (opened, standin):
        revision = _write(opened, "a", b"1")
        opened.get("a", _soon())
        opened.list("a", _soon())
        opened.renew(opened.grant(60, _soon()), _soon())
        assert not any(opened.watch("", revision, _soon(3.0)))
        counts = {"txn": 1, "range": 2, "lease_grant": 1, "lease_keepalive": 1}
        assert standin.calls() == counts | {"watch": 1}


def test_standin_holds_many_waiting_watches():
    with _etcd() as (opened, standin):
        watches = [opened.watch("w", 1, _soon(_WATCH_S)) for _ in range(64)]
        for watch in watches:
            next(watch)
        revision = _write(opened, "w", b"1")
        for watch in watches:
            assert _collect(watch, 1) == [store.Event("w", b"1", revision)]
            watch.close()


def test_standin_refuses_unknown_switches():
    with _standin() as standin:
        try:
            standin.control(dwon=True)
        except AssertionError:
            return
        raise AssertionError("an unknown switch was taken")


class _Answers:
    """Hands calls on to a store, and loses the answers to swaps as a script says.

    ``lost`` is an error before the effect, ``late`` one after it, and
    ``late_overwritten`` has somebody replace the value before the error.
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


def _settle(script, swaps):
    """Settle a replacement of b"1" by b"mine" and check the attempts."""
    with _memory_store() as inner:
        answers = _Answers(inner, script)
        revision = _write(inner, "a", b"1")
        swap = store.settle_swap(answers, "a", b"mine", revision, _soon())
        assert answers.swaps == swaps, answers.swaps
        return swap, inner.get("a", _soon())


def test_settle_passes_a_plain_answer_on():
    swap, item = _settle([], swaps=1)
    assert swap.done and item == store.Item("a", b"mine", swap.revision)


def test_settle_finds_its_own_write():
    swap, item = _settle(["late"], swaps=1)
    assert swap.done and item == store.Item("a", b"mine", swap.revision)


def test_settle_repeats_a_write_without_effect():
    swap, item = _settle(["lost", "lost", "down"], swaps=4)
    assert swap.done and item == store.Item("a", b"mine", swap.revision)


def test_settle_finds_its_own_write_after_a_repeat():
    swap, item = _settle(["lost", "late"], swaps=2)
    assert swap.done and item == store.Item("a", b"mine", swap.revision)


def test_settle_loses_to_another_write():
    swap, item = _settle(["late_overwritten"], swaps=1)
    assert not swap.done and swap.current == item and item.value == b"other"


def test_settle_takes_a_write_in_flight_for_its_own():
    class Late(_Answers):
        """The lost write arrives between the reading back and the repeat."""

        def get(self, key, deadline):
            item = self._inner.get(key, deadline)
            self._inner.swap(key, b"mine", item.revision, deadline)
            return item

    with _memory_store() as inner:
        revision = _write(inner, "a", b"1")
        answers = Late(inner, ["lost"])
        swap = store.settle_swap(answers, "a", b"mine", revision, _soon())
        assert swap.done and answers.swaps == 2
        assert inner.get("a", _soon()) == store.Item("a", b"mine", swap.revision)


def test_settle_raises_at_once_where_the_store_is_down():
    with _memory_store() as inner:
        answers = _Answers(inner, ["down"])
        with _raises(errors.Kind.STORE_DOWN):
            store.settle_swap(answers, "a", b"1", store.ABSENT, _soon())
        assert answers.swaps == 1


def test_settle_is_uncertain_once_its_deadline_has_passed():
    with _memory_store() as inner:
        answers = _Answers(inner, ["lost"] * 1000)
        deadline = _soon(_SHORT_S)
        with _raises(errors.Kind.STORE_UNCERTAIN):
            store.settle_swap(answers, "a", b"1", store.ABSENT, deadline)
        assert time.monotonic() >= deadline


def test_settle_over_http_after_lost_answers():
    with _etcd() as (opened, standin):
        standin.control(lose_answers=1)
        swap = store.settle_swap(opened, "a", b"mine", store.ABSENT, _soon())
        assert swap.done
        assert opened.get("a", _soon()) == store.Item("a", b"mine", swap.revision)
        assert standin.calls()["txn"] == 1


def test_settle_over_http_outlasts_an_outage():
    with _etcd() as (opened, standin):
        standin.control(silent=True)
        with futures.ThreadPoolExecutor(1) as pool:
            call = (opened, "a", b"mine", store.ABSENT, _soon(_WATCH_S))
            settling = pool.submit(store.settle_swap, *call)
            asked = lambda: standin.calls().get("range", 0) >= 1
            fixtures.wait_until(asked, _CALL_S, "the reading back")
            standin.control(silent=False)
        swap = settling.result()
        assert swap.done
        assert opened.get("a", _soon()) == store.Item("a", b"mine", swap.revision)


load_tests = collecting.hook(__name__)
