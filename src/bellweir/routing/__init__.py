"""Request routing: back-end selection, concurrency limits, retries and circuit breaking."""
