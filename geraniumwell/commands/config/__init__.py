"""Decisions on configuration changes."""
