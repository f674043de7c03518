"""Roll-outs of weight versions by one lease holder with fenced orders."""
