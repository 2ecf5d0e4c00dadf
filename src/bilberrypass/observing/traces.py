"""Trace spans by OpenTelemetry; nothing is loaded or created while disabled."""

import collections.abc as abc
import contextlib
import re
import sys
import typing as t

from bilberrypass import errors
from bilberrypass.version import settings

_TRACEPARENT_PATTERN: t.Final = re.compile(
    r"^[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$"
)
_HEADER: t.Final = "traceparent"

_tracer: t.Any = None
_propagator: t.Any = None


def install(cfg: settings.Traces, role: str, id: str) -> None:
    """Export spans if the settings name an exporter.

    Parameters
    ----------
    cfg : settings.Traces
        Validated settings.
    role, id : str
        Identify the process in each span, as service name and instance id.
    """
    global _tracer, _propagator
    if cfg["exporter"] == "none":
        return
    from opentelemetry.sdk import resources, trace
    from opentelemetry.sdk.trace import export
    from opentelemetry.trace.propagation import tracecontext

    names = {"service.name": f"bilberrypass.{role}", "service.instance.id": id}
    provider = trace.TracerProvider(resource=resources.Resource.create(names))
    exporter = export.ConsoleSpanExporter(out=sys.stderr, formatter=_format_span)
    provider.add_span_processor(export.SimpleSpanProcessor(exporter))
    _tracer = provider.get_tracer("bilberrypass")
    _propagator = tracecontext.TraceContextTextMapPropagator()


def _format_span(span: t.Any) -> str:
    return span.to_json(indent=None) + "\n"


def sanitize_traceparent(traceparent: str) -> str:
    """Return a W3C traceparent, or an empty string in place of a malformed one."""
    return traceparent if _TRACEPARENT_PATTERN.fullmatch(traceparent) else ""


def span(
    name: str, parent: str, **attributes: str | int
) -> contextlib.AbstractContextManager[str]:
    """Record a span around the body of a ``with`` statement.

    Parameters
    ----------
    name : str
        Name of the span.
    parent : str
        Traceparent of the caller; empty to start a trace.
    **attributes : str or int
        Attributes of the span.

    Returns
    -------
    context manager of str
        Yields the traceparent to pass on; ``parent`` while tracing is disabled.
    """
    if _tracer is None:
        return contextlib.nullcontext(parent)
    return _span(name, parent, attributes)


@contextlib.contextmanager
def _span(
    name: str, parent: str, attributes: abc.Mapping[str, str | int]
) -> abc.Iterator[str]:
    context = _propagator.extract({_HEADER: parent})
    with _tracer.start_as_current_span(
        name, context=context, attributes=attributes, record_exception=False
    ) as current:
        carrier: dict[str, str] = {}
        _propagator.inject(carrier)
        try:
            yield carrier.get(_HEADER, parent)
        except errors.Error as exc:
            current.set_attribute("code", str(exc.kind))
            raise


def event(name: str, parent: str, **attributes: str | int) -> None:
    """Record an event as a span without duration."""
    if _tracer is not None:
        with _span(name, parent, attributes):
            pass
