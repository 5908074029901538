"""Tests of the policy, `balancer.policy`."""
