"""Explains the outcome of a request, batch job or worker from the logs of several processes."""
