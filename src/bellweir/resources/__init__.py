"""The resource API: Policy, WeightVersion, Pool and Comparison."""
