"""Data classes that the decisions read and return."""
