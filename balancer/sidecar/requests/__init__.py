"""Requests in flight: events to the policy, and what it decides carried out."""
