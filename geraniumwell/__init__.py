"""Scheduler for multi-accelerator jobs under organisation guarantees."""
