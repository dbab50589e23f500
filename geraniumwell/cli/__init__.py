"""Command line of geraniumwell."""
