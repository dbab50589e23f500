"""Decisions about gang jobs: admission, guarantees, placement, start and recovery."""
