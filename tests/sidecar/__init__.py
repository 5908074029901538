"""Tests of the sidecar; many of them run it over loopback sockets."""
