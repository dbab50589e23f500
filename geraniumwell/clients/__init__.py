"""Clients of external systems: platform, store, endpoints and workers."""
