"""Batch jobs: durable acceptance, execution by the shard's leader, results at fixed positions."""
