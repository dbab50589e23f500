"""Batch jobs: steps of tasks that run on workers under leases."""
