"""The clients of the sidecars, some of which misbehave.

They form an open loop: new requests arrive at random times, whether earlier ones have had a response or not.
"""
