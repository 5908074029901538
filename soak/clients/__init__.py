"""The clients of the sidecars, in open loop; some of them misbehave."""
