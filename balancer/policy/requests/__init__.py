"""Requests from their arrival to their final answer: attempts, outcomes and retries."""
