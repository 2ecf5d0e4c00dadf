"""Validation of JSON values: reports all faults, each with its path and a remedy."""

import collections.abc as abc
import difflib
import typing as t

import pydantic

from bilberrypass import errors


def format_path(loc: abc.Sequence[int | str]) -> str:
    """Return a fault's location as a JSON path, such as ``exceptions[2].reason``."""
    path = ""
    for part in loc:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.lstrip(".") or "(whole)"


def describe_fault(fault: abc.Mapping[str, t.Any], known: abc.Iterable[str]) -> str:
    """Return a message for a fault found by pydantic, with its path and a remedy.

    Parameters
    ----------
    fault : mapping
        As in ``pydantic.ValidationError.errors()``.
    known : iterable of str
        The keys that are allowed in the object with the fault.
    """
    path = format_path(fault["loc"])
    if fault["type"] == "missing":
        return f"{path}: is missing; add it"
    if fault["type"] != "extra_forbidden":
        return f"{path}: {fault['msg'].removeprefix('Value error, ')}"
    near = _find_nearest(str(fault["loc"][-1]), list(known))
    hint = f"did you mean {near!r}?" if near else "remove it"
    return f"{path}: unknown key; {hint}"


def _find_nearest(key: str, known: list[str]) -> str:
    with_suffix = [name for name in known if name.startswith(f"{key}_")]
    near = with_suffix or difflib.get_close_matches(key, known, 1, 0.6)
    return near[0] if near else ""


def check(
    adapter: pydantic.TypeAdapter[t.Any], value: object, kind: errors.Kind
) -> t.Any:
    """Validate a whole value, and return it as the adapter converts it.

    Raises
    ------
    errors.Invalid
        Of the given kind, with all faults by JSON path.
    """
    try:
        return adapter.validate_python(value)
    except pydantic.ValidationError as exc:
        faults = _describe_faults(adapter, exc)
        raise errors.Invalid(kind, faults) from None


def _describe_faults(
    adapter: pydantic.TypeAdapter[t.Any], exc: pydantic.ValidationError
) -> list[str]:
    schema = adapter.json_schema()
    return [
        describe_fault(fault, _known_keys(schema, fault["loc"][:-1]))
        for fault in exc.errors()
    ]


def _known_keys(schema: t.Any, loc: abc.Sequence[int | str]) -> list[str]:
    """Return the keys that a JSON schema allows at a location."""
    node = schema
    for part in (*loc, None):
        if "$ref" in node:
            node = schema["$defs"][node["$ref"].rpartition("/")[2]]
        if part is None:
            break
        inner = node.get("properties", {}).get(part)
        node = node.get("items", {}) if isinstance(part, int) else inner or {}
    return list(node.get("properties", {}))
