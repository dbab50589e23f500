"""Soak test: real processes under random faults, and invariants that must hold."""
