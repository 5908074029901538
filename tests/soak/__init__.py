"""Tests of the fault soak: its oracle on made-up histories, its plan and its command line."""
