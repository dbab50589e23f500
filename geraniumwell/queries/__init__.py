"""Read-only functions on the state of a daemon."""
