"""Benchmark of the gang scheduling decisions on virtual time."""
