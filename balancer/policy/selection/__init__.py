"""The choice of the endpoint for an attempt: subsets, zones, slow start, load probing and load comparison."""
