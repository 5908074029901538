"""Injects the planned faults into the running fleet; there is an injector class for each kind of target."""
