"""Stand-ins of the review's scripts: a small deployment and its clients."""
