"""Experiments: variants run interleaved, results as JSON, a report with plots, comparisons."""
