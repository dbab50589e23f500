"""Adapter of the users' platform; the only package that knows its wire names."""
