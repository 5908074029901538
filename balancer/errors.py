"""The base classes of the exceptions that this package raises.

The subclasses are defined beside the code that raises them. The fields of an exception say what went wrong,
and its text is a single line that suits a log or standard error.
"""

from __future__ import annotations


class BalancerError(Exception):
    """Base class of the errors of this package."""


class InvalidFieldError(BalancerError):
    """A field of a document is missing or invalid.

    Attributes:
        key: The name of the field.
        problem: What is wrong with it, as the rest of a sentence that begins with the key.
        value: The invalid value; None if it is missing or is not a single value.
    """

    def __init__(self, key: str, problem: str, value: object = None) -> None:
        super().__init__(key, problem, value)
        self.key = key
        self.problem = problem
        self.value = value

    def __str__(self) -> str:
        return f"{self.key} {self.problem}"


class ConfigurationError(InvalidFieldError):
    """The configuration or the settings are missing or invalid.

    The key is a key of the file, or the environment variable that names the file.
    """


class DiscoveryError(BalancerError):
    """A call to discovery returned no usable endpoint list."""


class ProtocolError(BalancerError):
    """A peer sent something that its protocol does not allow."""


class UpstreamConnectionError(BalancerError):
    """A connection to an account server could not be used."""
