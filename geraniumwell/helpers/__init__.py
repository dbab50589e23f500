"""Metrics and logging, shared by all actors."""
