"""Stand-ins and helpers of the review's scripts."""
