"""Reads typed fields of decoded JSON, for the settings, the configuration and the endpoint lists."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Protocol, TypeGuard, TypeVar

from balancer.errors import BalancerError

Choice = TypeVar("Choice")


class FieldErrorFactory(Protocol):
    """Creates the exception for an invalid field; usually it is the class of that exception."""

    def __call__(self, key: str, problem: str, value: object) -> BalancerError:
        """Create the exception.

        Args:
            key: The name of the field.
            problem: What is wrong with it, as the rest of a sentence that begins with the key.
            value: The invalid value.
        """


def is_object(value: object) -> TypeGuard[dict[str, object]]:
    """Return whether a decoded value is a JSON object."""
    return isinstance(value, dict)


def is_list(value: object) -> TypeGuard[list[object]]:
    """Return whether a decoded value is a JSON array."""
    return isinstance(value, list)


def is_integer(value: object) -> TypeGuard[int]:
    """Return whether a decoded value is an integer; a boolean, although an `int` in Python, is not."""
    return isinstance(value, int) and not isinstance(value, bool)


def is_number(value: object) -> TypeGuard[int | float]:
    """Return whether a decoded value is a number; it may be NaN or infinite."""
    return is_integer(value) or isinstance(value, float)


class JsonObject:
    """The fields of a JSON object, read by name and type. Unknown fields are ignored.

    The methods that require a type raise the exception that `make_error` creates if a field has another type
    or an invalid value.
    """

    __slots__ = ("_fields", "make_error")

    def __init__(self, fields: Mapping[str, object], make_error: FieldErrorFactory) -> None:
        self._fields = fields
        self.make_error = make_error

    def get(self, key: str, default: object = None) -> object:
        """Return a field as it was decoded, or the default if it is absent."""
        return self._fields.get(key, default)

    def read_object(self, key: str) -> JsonObject:
        """Return a nested object; if the field is absent, the object is empty."""
        value = self._fields.get(key, {})
        if not is_object(value):
            raise self.make_error(key, "is not a JSON object", value)
        return JsonObject(value, self.make_error)

    def read_list(self, key: str) -> list[object]:
        """Return an array; if the field is absent or null, the list is empty."""
        value = self._fields.get(key)
        if value is None:
            return []
        if not is_list(value):
            raise self.make_error(key, "is not a list", value)
        return value

    def read_objects(self, key: str) -> list[JsonObject]:
        """Return an array of objects; if the field is absent or null, the list is empty."""
        objects: list[JsonObject] = []
        for value in self.read_list(key):
            if not is_object(value):
                raise self.make_error(key, "must hold only JSON objects, but has another entry", value)
            objects.append(JsonObject(value, self.make_error))
        return objects

    def read_number(self, key: str, default: float | None = None, minimum: float = 0) -> float:
        """Return a finite number of at least `minimum`; the field is required if there is no default."""
        value = self._fields.get(key, default)
        if not is_number(value) or not minimum <= value < math.inf:
            raise self.make_error(key, f"must be a finite number not below its minimum, got {value!r}", value)
        return value

    def read_integer(self, key: str, default: float | None = None, minimum: float = 0) -> int:
        """Return a number as `read_number` does, rounded towards zero to an integer."""
        return int(self.read_number(key, default, minimum))

    def read_choice(self, key: str, choices: Mapping[str, Choice], default: str | None = None) -> Choice:
        """Return what `choices` maps a string to; the field is required if there is no default."""
        value = self._fields.get(key, default)
        if not isinstance(value, str) or value not in choices:
            raise self.make_error(key, f"must be one of its defined values, got {value!r}", value)
        return choices[value]

    def read_flag(self, key: str) -> bool:
        """Return whether a field is present and is not null, false, zero or empty."""
        return bool(self._fields.get(key))

    def read_text(self, key: str, default: str = "") -> str:
        """Return a field of any type converted to a string, or the default if it is absent."""
        return str(self._fields.get(key, default))
