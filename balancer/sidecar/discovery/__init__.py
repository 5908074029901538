"""Discovery: the endpoint list, and the calls that keep it up to date."""
