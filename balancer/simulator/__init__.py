"""The same decisions on the wire of the simulator."""
