"""Overload control: detection, admission control, cross-zone spillover, and gossip of the measurements.

Queueing delays are shares of the slack of a request class, unless a name ends in `_ns`. The slack is the
latency objective less the baseline. The baseline is the latency of a response without queueing, so the slack
is the longest time that an attempt can queue without missing the objective.
"""
