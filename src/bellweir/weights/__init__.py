"""Rolling weight versions out to engines by fenced orders."""
