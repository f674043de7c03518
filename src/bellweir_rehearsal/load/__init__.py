"""Open-loop load: arrivals, request mixes, and latency histograms."""
