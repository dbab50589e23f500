"""Benchmark of the request scheduling decisions on virtual time."""
