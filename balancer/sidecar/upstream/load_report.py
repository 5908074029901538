"""Parses the load reports that account servers send in a header or in the response to a health check.

A report has the form `TEXT name=value, name=value, ...` in ASCII.
"""

from __future__ import annotations

import re

_PREFIX = "TEXT"
"""The start of a report, which names its format."""

_NUMBER = re.compile(r"[0-9]{1,15}(?:\.[0-9]{1,15})?(?:e-[0-9]{1,2})?", re.ASCII)
"""The syntax of a value; `float` alone would also accept nan, inf, 1_0 and more."""


def parse_load_report(text: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Return the values of a load report in the order of `fields`; () if any is missing or malformed."""
    values: dict[str, float] = {}
    try:
        report = text.decode("ascii").strip().removeprefix(_PREFIX)
        for part in report.split(","):
            name, _, value = part.strip().partition("=")
            if _NUMBER.fullmatch(value):
                values[name] = float(value)
        return tuple(values[field] for field in fields)
    except (UnicodeDecodeError, KeyError):
        return ()
