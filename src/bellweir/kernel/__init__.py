"""Micro-kernel: service registry, life cycle, bounded executors, clock and signals."""
