"""Entry points: where a node is put together from its services."""
