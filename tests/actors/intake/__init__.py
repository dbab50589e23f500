"""Tests of the bounds on unfinished requests."""
