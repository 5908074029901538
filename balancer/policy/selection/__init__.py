"""Which endpoint an attempt goes to: subsets, slow start, load probing and the pick."""
