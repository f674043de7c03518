"""The callers', trainers' and operators' HTTP interface."""
