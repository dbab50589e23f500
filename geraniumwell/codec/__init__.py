"""Encoding of settings, table rows and messages."""
