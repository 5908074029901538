"""The discovery client: endpoint lists, and the calls that keep them up to date."""
