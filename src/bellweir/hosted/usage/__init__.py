"""Usage: requests that began to run, counted by tenant and window of time, reported once."""
