"""Clock, identifiers and invariant checks."""
