"""Trace spans by opentelemetry; nothing is loaded or made while they are off."""

import collections.abc as abc
import contextlib
import re
import sys
import typing as t

from bilberrypass import errors
from bilberrypass.version import settings

_TRACEPARENT: t.Final = re.compile(
    r"^[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$"
)
_HEADER: t.Final = "traceparent"

_tracer: t.Any = None
_propagator: t.Any = None


def install(cfg: settings.Traces, role: str, id: str) -> None:
    """Export spans if the settings say so.

    Parameters
    ----------
    cfg : settings.Traces
        Checked settings.
    role, id : str
        Name the process in each span.
    """
    global _tracer, _propagator
    if cfg["exporter"] == "none":
        return
    from opentelemetry.sdk import resources, trace
    from opentelemetry.sdk.trace import export
    from opentelemetry.trace.propagation import tracecontext

    names = {"service.name": f"bilberrypass.{role}", "service.instance.id": id}
    provider = trace.TracerProvider(resource=resources.Resource.create(names))
    exporter = export.ConsoleSpanExporter(out=sys.stderr, formatter=_format)
    provider.add_span_processor(export.SimpleSpanProcessor(exporter))
    _tracer = provider.get_tracer("bilberrypass")
    _propagator = tracecontext.TraceContextTextMapPropagator()


def _format(span: t.Any) -> str:
    return span.to_json(indent=None) + "\n"


def clean(traceparent: str) -> str:
    """Return a W3C traceparent, or nothing in place of a malformed one."""
    return traceparent if _TRACEPARENT.fullmatch(traceparent) else ""


def span(
    name: str, parent: str, **attributes: str | int
) -> contextlib.AbstractContextManager[str]:
    """Span a piece of work.

    Parameters
    ----------
    name : str
        What is done.
    parent : str
        Traceparent of the caller; empty to begin a trace.
    **attributes : str or int
        Described in the span.

    Returns
    -------
    context manager of str
        Gives the traceparent to pass on.
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
    ) as made:
        carrier: dict[str, str] = {}
        _propagator.inject(carrier)
        try:
            yield carrier.get(_HEADER, parent)
        except errors.Error as exc:
            made.set_attribute("code", str(exc.kind))
            raise


def event(name: str, parent: str, **attributes: str | int) -> None:
    """Mark a moment by a span of no length."""
    if _tracer is not None:
        with _span(name, parent, attributes):
            pass
