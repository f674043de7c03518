"""Measurements that are run by hand."""
