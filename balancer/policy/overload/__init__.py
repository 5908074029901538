"""Overload control: measurement, detection, admission, spillover, and gossip of what was measured."""
