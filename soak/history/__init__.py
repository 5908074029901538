"""The history of a soak: the recorded events, and the clock that gives their times."""
