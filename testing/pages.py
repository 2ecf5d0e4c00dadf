"""Generate the documentation pages of errors and settings from the code."""

import pathlib
import types
import typing as t

import typing_extensions as te

from bilberrypass import errors
from bilberrypass.version import settings

DOCS = pathlib.Path(__file__).parent.parent / "docs"

_ERRORS_HEAD = """\
# Errors

Every refusal is `application/problem+json` (RFC 9457). `code` is one of the kinds
below, `ran` tells whether the work behind the request ran, and `detail` names the
culprit and the remedy. `faults` lists every fault of a body by its JSON path. Where a
retry can help, `Retry-After` says when, spread out so that callers do not come back
together. `ran` is the value from before any work could begin; an error raised later
carries its own.

This page is written by `python -m testing.pages` and held against the code by
`testing/test_pages.py`.

| code | status | ran | retry helps | title |
| --- | --- | --- | --- | --- |
"""

_SETTINGS_HEAD = """\
# Settings

A process reads its settings from one JSON file, checked whole before anything starts:
`bilberrypassd check --settings FILE` names every fault by its JSON path and exits with
2. Keys name their unit: `_s` is seconds, `_bytes` bytes. Addresses are IP numbers with
a port, `127.0.0.1:8080` or `[::1]:8080`; a process looks up no names.

`bilberrypassd local` needs no file; one given to it holds keys of an entry that
replace its own.

This page is written by `python -m testing.pages` and held against the code by
`testing/test_pages.py`.
"""

_UNIT_BY_SUFFIX = {"_s": "s", "_bytes": "bytes", "_ms": "ms"}
_BOUND_WORDS = {"ge": "from", "gt": "over", "le": "to"}
_SCALAR_NAMES = {str: "text", bool: "true or false", int: "integer", float: "number"}


def errors_page() -> str:
    rows = [
        f"| `{kind}` | {a.status} | {a.ran} | {'yes' if a.retry_helps else 'no'} "
        f"| {a.title} |\n"
        for kind, a in errors.RESPONSES.items()
    ]
    return _ERRORS_HEAD + "".join(rows)


class SettingsKey(t.NamedTuple):
    """One row of the settings page: a key of a settings file."""

    path: str
    kind: str
    unit: str
    default: str
    meaning: str


def settings_keys(part: t.Any, defaults: t.Any, prefix: str = "") -> list[SettingsKey]:
    """Return the keys of a settings TypedDict and of the TypedDicts nested in it."""
    found = []
    for name, hint in te.get_type_hints(part, include_extras=True).items():
        kind, notes = _strip_annotations(hint)
        default = defaults.get(name) if defaults else None
        inner, is_list = _item_type(kind)
        path = f"{prefix}{name}" + ("[]" if is_list and _is_typed_dict(inner) else "")
        if _is_typed_dict(inner):
            if notes:
                found.append(SettingsKey(path, "list of objects", "", "", notes[-1]))
            nested = default if isinstance(default, dict) else None
            found += settings_keys(inner, nested, f"{path}.")
            continue
        required = name in part.__required_keys__
        shown = "required" if required else _format_default(default)
        unit = next((u for end, u in _UNIT_BY_SUFFIX.items() if name.endswith(end)), "")
        described = _describe_checks(hint, _type_name(kind))
        found.append(
            SettingsKey(path, described, unit, shown, notes[-1] if notes else "")
        )
    return found


def _strip_annotations(hint):
    while te.get_origin(hint) in (te.Required, te.NotRequired):
        (hint,) = te.get_args(hint)
    if te.get_origin(hint) is te.Annotated:
        kind, *notes = te.get_args(hint)
        return kind, [note for note in notes if isinstance(note, str)]
    return hint, []


def _describe_checks(hint, kind):
    """Return ``kind``, replaced by a named check or extended by the hint's bounds."""
    while te.get_origin(hint) in (te.Required, te.NotRequired):
        (hint,) = te.get_args(hint)
    if te.get_origin(hint) is not te.Annotated:
        return kind
    args = te.get_args(hint)
    if te.get_origin(args[0]) is list:
        return f"list of {_describe_checks(te.get_args(args[0])[0], kind[8:])}"
    for note in args[1:]:
        kind = _named_checks().get(repr(note), kind)
        for bound in getattr(note, "metadata", ()):
            for word, sign in _BOUND_WORDS.items():
                if hasattr(bound, word):
                    kind += f", {sign} {getattr(bound, word)}"
    return kind


def _named_checks():
    """Return the names of the checked text types, by the repr of their check."""
    named = {
        "address": (
            settings.Address,
            settings.RemoteAddress,
            settings.AdvertisedAddress,
        ),
        "name": (settings.Name,),
        "hexadecimal": (settings.Hex,),
    }
    return {
        repr(te.get_args(hint)[1]): name
        for name, hints in named.items()
        for hint in hints
    }


def _item_type(kind):
    if te.get_origin(kind) is list:
        return _strip_annotations(te.get_args(kind)[0])[0], True
    return kind, False


def _is_typed_dict(kind):
    return isinstance(kind, type) and hasattr(kind, "__required_keys__")


def _type_name(kind):
    if te.get_origin(kind) is t.Literal:
        return " or ".join(f"`{value}`" for value in te.get_args(kind))
    if te.get_origin(kind) in (t.Union, types.UnionType):
        return " or ".join(_type_name(arg) for arg in te.get_args(kind))
    inner, is_list = _item_type(kind)
    return (
        f"list of {_type_name(inner)}"
        if is_list
        else _SCALAR_NAMES.get(kind, str(kind))
    )


def _format_default(value):
    if value is None:
        return "none"
    if isinstance(value, bool):
        return "`true`" if value else "`false`"
    return f"`{value}`"


def settings_page() -> str:
    text = _SETTINGS_HEAD
    for title, part, defaults in (
        ("`bilberrypassd entry`", settings.Entry, settings.ENTRY_DEFAULTS),
        ("`bilberrypassd agent`", settings.Agent, settings.AGENT_DEFAULTS),
    ):
        text += f"\n## {title}\n\n| key | type | unit | default | meaning |\n"
        text += "| --- | --- | --- | --- | --- |\n"
        for key in settings_keys(part, defaults):
            text += "| `{}` | {} | {} | {} | {} |\n".format(*key)
    return text


PAGES = {"ERRORS.md": errors_page, "SETTINGS.md": settings_page}


def main() -> None:
    for name, write in PAGES.items():
        (DOCS / name).write_text(write())


if __name__ == "__main__":
    main()
