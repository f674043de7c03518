"""Batch jobs: accepted durably, run by the shard's leader, read at fixed positions."""
