"""A scheduler that places latency-critical services and batch work on shared hosts."""

__version__ = "0.1.0"
