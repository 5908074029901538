"""The adapter that connects the decisions of many sidecars to the simulator, over its binary protocol."""
