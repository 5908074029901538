"""Requests in flight: events go to the policy, and the actions that it decides on are carried out."""
