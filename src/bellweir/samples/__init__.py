"""Training steps: slots, staleness, tail scheduling and delivery."""
