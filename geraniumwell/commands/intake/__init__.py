"""Decisions about connections and requests that are not complete."""
