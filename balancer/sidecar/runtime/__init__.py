"""What every part of the process rests on: clock, timers, metrics, sockets and addresses."""
