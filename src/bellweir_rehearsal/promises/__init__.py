"""The checker: a verdict on each promise from the logs of stand-ins, callers and trainers."""
