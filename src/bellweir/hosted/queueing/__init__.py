"""Fair queueing of requests that wait for capacity, and Retry-After for refused ones."""
