"""Numbered log events and the logger that writes them."""
