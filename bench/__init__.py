"""Measurements that run the product beside simpler ways of doing the same."""
