"""Decoding of bytes that another process wrote."""

import typing as t

import msgspec

T = t.TypeVar("T")


class UnreadableError(ValueError):
    """The bytes do not have the expected form; the message names the field."""


def decode_msgpack(value: bytes, decoder: "msgspec.msgpack.Decoder[T]") -> T:
    """Decode msgpack with the decoder of a type.

    Raises
    ------
    UnreadableError
        For any bytes that are not of that form, deep nesting included.
    """
    try:
        return decoder.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise UnreadableError(str(exc)) from exc


def decode_json(value: bytes, kind: type[T]) -> T:
    """Decode JSON of the given type.

    Raises
    ------
    UnreadableError
        For any bytes that are not of that form, deep nesting included.
    """
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise UnreadableError(str(exc)) from exc
