"""What happened during a soak: the recorded events and the clock that dates them."""
