"""Requests from their arrival to their final response: attempts, outcomes and retries."""
