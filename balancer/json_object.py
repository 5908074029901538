"""Typed reading of decoded JSON, shared by the settings, the configuration and the endpoint lists."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Protocol, TypeGuard, TypeVar

from balancer.errors import BalancerError

Choice = TypeVar("Choice")


class FieldErrorFactory(Protocol):
    """Makes the error for an invalid field; usually the class of that error."""

    def __call__(self, key: str, problem: str, value: object) -> BalancerError:
        """Make the error from the key, the rest of a sentence that begins with it, and the value."""


def is_object(value: object) -> TypeGuard[dict[str, object]]:
    """Return whether a decoded value is a JSON object."""
    return isinstance(value, dict)


def is_list(value: object) -> TypeGuard[list[object]]:
    """Return whether a decoded value is a JSON array."""
    return isinstance(value, list)


def is_integer(value: object) -> TypeGuard[int]:
    """Return whether a decoded value is an integer; the booleans, which are `int` in Python, are not."""
    return isinstance(value, int) and not isinstance(value, bool)


def is_number(value: object) -> TypeGuard[int | float]:
    """Return whether a decoded value is a number; it may be NaN or infinite."""
    return is_integer(value) or isinstance(value, float)


class JsonObject:
    """The fields of a JSON object, read by name and type. Unknown fields are ignored.

    Each `read_` method raises what `make_error` makes for a field of the wrong type.
    """

    __slots__ = ("_fields", "make_error")

    def __init__(self, fields: Mapping[str, object], make_error: FieldErrorFactory) -> None:
        self._fields = fields
        self.make_error = make_error

    def get(self, key: str, default: object = None) -> object:
        """Return a field as it was decoded, or the default if it is absent."""
        return self._fields.get(key, default)

    def read_object(self, key: str) -> JsonObject:
        """Return a nested object; an absent one is empty."""
        value = self._fields.get(key, {})
        if not is_object(value):
            raise self.make_error(key, "is not an object", value)
        return JsonObject(value, self.make_error)

    def read_list(self, key: str) -> list[object]:
        """Return an array; one that is absent or null is empty."""
        value = self._fields.get(key)
        if value is None:
            return []
        if not is_list(value):
            raise self.make_error(key, "is not a list", value)
        return value

    def read_objects(self, key: str) -> list[JsonObject]:
        """Return an array of objects; one that is absent or null is empty."""
        objects: list[JsonObject] = []
        for value in self.read_list(key):
            if not is_object(value):
                raise self.make_error(key, "makes no sense: it holds something that is not an object", value)
            objects.append(JsonObject(value, self.make_error))
        return objects

    def read_number(self, key: str, default: float | None = None, minimum: float = 0) -> float:
        """Return a finite number of at least `minimum`; it is required where there is no default."""
        value = self._fields.get(key, default)
        if not is_number(value) or not minimum <= value < math.inf:
            raise self.make_error(key, f"is {value!r}", value)
        return value

    def read_integer(self, key: str, default: float | None = None, minimum: float = 0) -> int:
        """Return the whole part of a number that `read_number` allows."""
        return int(self.read_number(key, default, minimum))

    def read_choice(self, key: str, choices: Mapping[str, Choice], default: str | None = None) -> Choice:
        """Return what a text stands for in `choices`; it is required where there is no default."""
        value = self._fields.get(key, default)
        if not isinstance(value, str) or value not in choices:
            raise self.make_error(key, f"is {value!r}", value)
        return choices[value]

    def read_flag(self, key: str) -> bool:
        """Return whether a field is present and neither null, false, zero nor empty."""
        return bool(self._fields.get(key))

    def read_text(self, key: str, default: str = "") -> str:
        """Return a field converted to text, whatever its type."""
        return str(self._fields.get(key, default))
