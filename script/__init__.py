"""Scripts of the repository."""
