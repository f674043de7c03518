"""A small replicated log for claims, step slots, deliveries and leases."""
