"""The lines of a JSON text on which its keys and elements stand."""

import json
import re
import typing as t

_SPACE: t.Final = re.compile(r"\s*")
_DECODER: t.Final = json.JSONDecoder()


def find_lines(text: str) -> dict[str, int]:
    """Return the line of each key and element of a valid JSON text, by its path.

    Lines count from 1; paths are written like ``exceptions[2].set.drain``.
    """
    lines: dict[str, int] = {}
    _scan(text, _skip_space(text, 0), "", lines)
    return lines


def _skip_space(text: str, at: int) -> int:
    found = _SPACE.match(text, at)
    return found.end() if found else at


def _scan(text: str, at: int, path: str, lines: dict[str, int]) -> int:
    """Record the lines of the value that begins at an index; return where it ends."""
    opening = text[at]
    if opening not in "{[":
        return _DECODER.raw_decode(text, at)[1]
    at, number = _skip_space(text, at + 1), 0
    while text[at] not in "}]":
        if opening == "{":
            key, end = _DECODER.raw_decode(text, at)
            inner = f"{path}.{key}" if path else key
            start = _skip_space(text, _skip_space(text, end) + 1)
        else:
            inner, start = f"{path}[{number}]", at
        lines[inner] = text.count("\n", 0, at) + 1
        at = _skip_space(text, _scan(text, start, inner, lines))
        if text[at] == ",":
            at = _skip_space(text, at + 1)
        number += 1
    return at + 1


def line_of(path: str, lines: dict[str, int]) -> int:
    """Return the line of a path, or of the nearest enclosing one; 0 if none is known.

    A finding may be about a key that is missing from the text.
    """
    while path:
        if path in lines:
            return lines[path]
        path = path[: max(path.rfind("."), path.rfind("["), 0)]
    return 0
