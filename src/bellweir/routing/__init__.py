"""Choice of back end, limits, priorities, retries and circuit breaking."""
