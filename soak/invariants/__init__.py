"""The oracle: what must hold of every history. There is a module for each family of invariants."""
