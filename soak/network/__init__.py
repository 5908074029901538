"""The network between sidecars and account servers, with its faults."""
