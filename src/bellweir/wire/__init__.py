"""Typed cbor2 messages between nodes, over one authenticated connection for each peer."""
