"""Compares reports over unary calls and streams, on threads and on asyncio.

    python -m benchmarks.transports

A minimal server receives a report of 1271 bytes, the size that reports have, from
each peer every second and answers with 52 bytes, as an entry does, but does none of
an entry's work. One process holds the connections of all peers. Each pair of
processes is measured for 6 s.
"""

import argparse
import asyncio
import concurrent.futures as futures
import json
import sys
import threading
import time

import grpc

from benchmarks import measuring
from testing import fixtures

_PEERS = (50, 200, 600)
_KINDS = ("unary-threads", "stream-threads", "unary-aio", "stream-aio")
_REPORT_BYTES = 1_271
_ANSWER = b"a" * 52
_INTERVAL_S = 1.0
_THREADS = 16
_STACK_BYTES = 256 << 10
_SETTLE_S = 3.0
_MEASURED_S = 6.0
_PATH = "/bench/Report"


def _make_handler(kind: str):
    if kind.startswith("unary"):
        handler = grpc.unary_unary_rpc_method_handler(_UNARY[kind])
    else:
        handler = grpc.stream_stream_rpc_method_handler(_STREAM[kind])
    return grpc.method_handlers_generic_handler("bench", {"Report": handler})


def _serve_unary(req: bytes, context) -> bytes:
    return _ANSWER


def _serve_stream(reqs, context):
    for _ in reqs:
        yield _ANSWER


async def _serve_unary_aio(req: bytes, context) -> bytes:
    return _ANSWER


async def _serve_stream_aio(reqs, context):
    async for _ in reqs:
        yield _ANSWER


_UNARY = {"unary-threads": _serve_unary, "unary-aio": _serve_unary_aio}
_STREAM = {"stream-threads": _serve_stream, "stream-aio": _serve_stream_aio}


def _print_ready_line(port: int) -> None:
    addresses = {"peers": f"127.0.0.1:{port}"}
    ready = {"ready": True, "role": "server", "id": "bench", "addresses": addresses}
    print(json.dumps(ready), flush=True)


def _run_threads(kind: str, peers: int) -> None:
    threading.stack_size(_STACK_BYTES)
    threads = peers + 1 if kind.startswith("stream") else _THREADS
    server = grpc.server(futures.ThreadPoolExecutor(threads))
    server.add_generic_rpc_handlers((_make_handler(kind),))
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    _print_ready_line(port)
    server.wait_for_termination()


async def _run_aio(kind: str) -> None:
    server = grpc.aio.server()
    server.add_generic_rpc_handlers((_make_handler(kind),))
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    _print_ready_line(port)
    await server.wait_for_termination()


async def _run_clients(kind: str, address: str, peers: int) -> None:
    client = _call_unary if kind.startswith("unary") else _call_stream
    ready = {"ready": True, "role": "clients", "id": "bench", "addresses": {}}
    print(json.dumps(ready), flush=True)
    await asyncio.gather(*(client(address, n / peers) for n in range(peers)))


def _open_channel(address: str) -> grpc.aio.Channel:
    options = (("grpc.use_local_subchannel_pool", 1),)
    return grpc.aio.insecure_channel(address, options=options)


async def _call_unary(address: str, offset_s: float) -> None:
    call = _open_channel(address).unary_unary(_PATH)
    due = time.monotonic() + offset_s
    while True:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        await call(b"r" * _REPORT_BYTES)
        due += _INTERVAL_S


async def _call_stream(address: str, offset_s: float) -> None:
    call = _open_channel(address).stream_stream(_PATH)()
    due = time.monotonic() + offset_s
    while True:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        await call.write(b"r" * _REPORT_BYTES)
        await call.read()
        due += _INTERVAL_S


def _measure(kind: str, peers: int) -> measuring.Rate:
    module = "benchmarks.transports"
    args = [module, "--serve", kind, "--peers", str(peers)]
    with fixtures.process(args) as server:
        address = server.addresses["peers"]
        args = [module, "--call", kind, "--peers", str(peers), "--address", address]
        with fixtures.process(args):
            time.sleep(_SETTLE_S)
            return measuring.measure(server.pid, _MEASURED_S)


def measure(counts: list[int]) -> None:
    """Print the server's resource use for each kind by number of peers."""
    measuring.print_conditions(f"a bare server, {_REPORT_BYTES} bytes a report")
    for kind in _KINDS:
        rates = {count: _measure(kind, count) for count in counts}
        print(kind)
        rows = [
            (n, r.cpu_ms_per_s, r.rss_mib, r.tcp_bytes_per_s / n, r.threads)
            for n, r in rates.items()
        ]
        heads = ["peers", "cpu ms/s", "MiB", "bytes/s a peer", "threads"]
        measuring.print_table(heads, rows)
        for name in ("cpu_ms_per_s", "rss_mib"):
            points = [(float(n), getattr(r, name)) for n, r in rates.items()]
            measuring.print_fit(f"{kind} {name} by peers", points)


def main() -> int:
    """Run the measurement, or one of its server and client processes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--serve", choices=_KINDS)
    parser.add_argument("--call", choices=_KINDS)
    parser.add_argument("--address", default="")
    parser.add_argument("--peers", type=int, nargs="+", default=list(_PEERS))
    args = parser.parse_args()
    if args.call:
        asyncio.run(_run_clients(args.call, args.address, args.peers[0]))
    elif args.serve and args.serve.endswith("aio"):
        asyncio.run(_run_aio(args.serve))
    elif args.serve:
        _run_threads(args.serve, args.peers[0])
    else:
        measure(args.peers)
    return 0


if __name__ == "__main__":
    sys.exit(main())
