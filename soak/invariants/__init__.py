"""The invariants that must hold in every history of a soak. Each module checks one family of them."""
