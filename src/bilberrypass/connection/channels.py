"""gRPC calls between the system's own processes, with msgpack messages."""

import collections.abc as abc
import concurrent.futures as futures
import functools
import threading
import time
import typing as t

import grpc
import logbook
import msgspec

from bilberrypass import errors
from bilberrypass.connection import messages
from bilberrypass.observing import metrics

_log = logbook.Logger("channels")

_SERVICE: t.Final = "bilberrypass"
_KEEPALIVE_INTERVAL_MS: t.Final = 2_000
_PING_TIMEOUT_MS: t.Final = 3_000
_MAX_MESSAGE_BYTES: t.Final = 64 << 20
# Error texts of the gRPC library for a call that the server never began.
_TOO_MANY_CALLS_TEXT: t.Final = "Concurrent RPC limit exceeded!"
_CONNECT_FAILED_TEXT: t.Final = "failed to connect to all addresses"
_MAX_DETAIL_CHARS: t.Final = 1_000
_RECONNECT_STATUS_CODES: t.Final = (
    grpc.StatusCode.UNAVAILABLE,
    grpc.StatusCode.DEADLINE_EXCEEDED,
)


class Method(t.NamedTuple):
    """A remote method: its name, and the types of its request and response."""

    name: str
    request_type: type
    response_type: type


FORWARD: t.Final = Method("Forward", messages.ForwardRequest, messages.ForwardResponse)
REPORT: t.Final = Method("Report", messages.Report, messages.ReportResponse)
START: t.Final = Method("Start", messages.StartRequest, messages.StartResponse)
STOP: t.Final = Method("Stop", messages.StopRequest, messages.StopResponse)
REVOKE: t.Final = Method("Revoke", messages.RevokeRequest, messages.RevokeResponse)
CLAIM: t.Final = Method("Claim", messages.ClaimRequest, messages.ClaimResponse)
JOB: t.Final = Method("Job", messages.JobRequest, messages.JobResponse)

CONFIG: t.Final = Method("Config", messages.ConfigRequest, messages.ConfigResponse)
INTRODUCE: t.Final = Method("Introduce", messages.IntroduceRequest, messages.Empty)


class _Fault(t.NamedTuple):
    """An error as it is sent from one process to another."""

    kind: errors.Kind
    detail: str
    ran: errors.Ran
    retry_after_s: float | None


_CLIENT_OPTIONS: t.Final = (
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.keepalive_time_ms", _KEEPALIVE_INTERVAL_MS),
    ("grpc.keepalive_timeout_ms", _KEEPALIVE_INTERVAL_MS),
    # A ping that the library sends for its own purposes replaces the keepalive
    # ping, and its timeout would be one minute.
    ("grpc.http2.ping_timeout_ms", _PING_TIMEOUT_MS),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.min_reconnect_backoff_ms", 200),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 2_000),
    ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", _MAX_MESSAGE_BYTES),
)
_SERVER_OPTIONS: t.Final = (
    ("grpc.so_reuseport", 0),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 500),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", _MAX_MESSAGE_BYTES),
)


@t.final
class _Connection:
    """One gRPC channel, closed once it is retired and its last call has ended."""

    def __init__(self, address: str) -> None:
        self._channel = grpc.insecure_channel(address, options=_CLIENT_OPTIONS)
        self._lock = threading.Lock()
        self._calls = 0
        self._is_retired = False

    def invoke(self, method: Method, req: t.Any, timeout_s: float) -> t.Any:
        """Call a method; raises ``ValueError`` if the channel is closed."""
        with self._lock:
            self._calls += 1
        try:
            call = self._channel.unary_unary(
                f"/{_SERVICE}/{method.name}",
                request_serializer=msgspec.msgpack.encode,
                response_deserializer=_decoder(method.response_type),
            )
            return call(req, timeout=timeout_s)
        finally:
            with self._lock:
                self._calls -= 1
            self._close_if_done()

    def retire(self) -> None:
        """Close the channel once the calls in progress have ended."""
        self._is_retired = True
        self._close_if_done()

    def _close_if_done(self) -> None:
        with self._lock:
            is_done = self._is_retired and not self._calls
        if is_done:
            self._channel.close()


@t.final
class Peer:
    """Client for calls to one other process.

    The connection is replaced after a call that found it broken or silent.

    Parameters
    ----------
    address : str
        IP address and port.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._lock = threading.Lock()
        self._conn = _Connection(address)

    def call(self, method: Method, req: t.Any, deadline: float) -> t.Any:
        """Call a method and return its response.

        Parameters
        ----------
        method : Method
            The remote method.
        req : object
            The request, of the method's request type.
        deadline : float
            Monotonic seconds.

        Raises
        ------
        errors.Error
            The error that the peer returned; PEER_UNREACHABLE with ``ran`` "no" if
            no connection could be made, or it was closed before the call; otherwise
            PEER_UNREACHABLE or ANSWER_LOST with ``ran`` "unknown".
        """
        conn = self._conn
        try:
            return conn.invoke(method, req, max(0.001, deadline - time.monotonic()))
        except grpc.RpcError as exc:
            error = self._translate(method, exc)
            if exc.code() in _RECONNECT_STATUS_CODES:
                self._replace(conn)
        except ValueError:
            error = errors.Error(
                errors.Kind.PEER_UNREACHABLE,
                f"the connection to {self.address} was closed; try again",
                ran=errors.Ran.NO,
            )
        raise error

    def _translate(self, method: Method, exc: t.Any) -> errors.Error:
        code, details = exc.code(), exc.details() or ""
        if code is grpc.StatusCode.ABORTED:
            return _decode_fault(details)
        if details == _TOO_MANY_CALLS_TEXT:
            return errors.Refused(
                errors.Kind.OVERLOADED,
                f"{self.address} has too many calls in progress; retry later",
                ran=errors.Ran.NO,
            )
        if code is grpc.StatusCode.UNAVAILABLE and details.startswith(
            _CONNECT_FAILED_TEXT
        ):
            return errors.Refused(
                errors.Kind.PEER_UNREACHABLE,
                f"{self.address} does not accept connections; try another peer",
                ran=errors.Ran.NO,
                retry_after_s=1.0,
            )
        kind = errors.Kind.PEER_UNREACHABLE
        if code is grpc.StatusCode.DEADLINE_EXCEEDED:
            kind = errors.Kind.ANSWER_LOST
        return errors.Error(
            kind, f"{method.name} to {self.address} failed: {code.name} {details}"
        )

    def _replace(self, suspect: _Connection) -> None:
        """Open a connection on a new socket; calls on the old one continue."""
        with self._lock:
            if self._conn is not suspect:
                return
            self._conn = _Connection(self.address)
        suspect.retire()

    def close(self) -> None:
        """Close the connection once the calls in progress have ended."""
        self._conn.retire()


def _decode_fault(details: str) -> errors.Error:
    fault = msgspec.json.decode(details, type=_Fault)
    return errors.Refused(
        fault.kind, fault.detail, ran=fault.ran, retry_after_s=fault.retry_after_s
    )


@functools.cache
def _decoder(message_type: type) -> abc.Callable[[bytes], t.Any]:
    return msgspec.msgpack.Decoder(message_type).decode


def _make_handler(method: Method, serve: abc.Callable[[t.Any], t.Any]) -> t.Any:
    def invoke(req: t.Any, context: grpc.ServicerContext) -> t.Any:
        try:
            return serve(req)
        except errors.Error as exc:
            metrics.count(metrics.Name.REFUSALS, exc.kind)
            fault = _Fault(
                exc.kind, exc.detail[:_MAX_DETAIL_CHARS], exc.ran, exc.retry_after_s
            )
        except Exception:
            _log.exception("channels: {} raised an unexpected exception", method.name)
            fault = _Fault(
                errors.Kind.INTERNAL,
                f"{method.name} failed unexpectedly; see the log of the process called",
                errors.Ran.UNKNOWN,
                None,
            )
        context.abort(grpc.StatusCode.ABORTED, msgspec.json.encode(fault).decode())

    return grpc.unary_unary_rpc_method_handler(
        invoke,
        request_deserializer=_decoder(method.request_type),
        response_serializer=msgspec.msgpack.encode,
    )


@t.final
class Server:
    """gRPC server for calls of other processes.

    Parameters
    ----------
    address : str
        IP address and port; port 0 selects a free one.
    methods : dict of Method to callable
        Each is called with the request message and returns the response message.
    threads : int
        Calls served concurrently.
    max_queued : int
        Calls that may wait for a thread; further ones are rejected at once.

    Raises
    ------
    errors.Error
        INVALID_SETTINGS if the address cannot be listened on.
    """

    def __init__(
        self,
        address: str,
        methods: abc.Mapping[Method, abc.Callable[[t.Any], t.Any]],
        threads: int,
        max_queued: int = 1_000,
    ) -> None:
        pool = futures.ThreadPoolExecutor(threads, thread_name_prefix="grpc")
        self._server = grpc.server(
            pool, options=_SERVER_OPTIONS, maximum_concurrent_rpcs=threads + max_queued
        )
        handlers = {m.name: _make_handler(m, serve) for m, serve in methods.items()}
        generic = grpc.method_handlers_generic_handler(_SERVICE, handlers)
        self._server.add_generic_rpc_handlers((generic,))
        host = address.rpartition(":")[0]
        try:
            port = self._server.add_insecure_port(address)
        except RuntimeError:
            raise errors.Error(
                errors.Kind.INVALID_SETTINGS,
                f"cannot listen on {address}; free it or set another address",
            ) from None
        self.address = f"{host}:{port}"

    def start(self) -> None:
        """Start accepting calls."""
        self._server.start()

    def stop(self, grace_s: float) -> None:
        """Reject new calls; wait up to ``grace_s`` seconds for those in progress."""
        self._server.stop(grace_s).wait()
