"""Explains what became of a request or batch job from the log lines of several processes."""
