"""Bellweir: a rollout service for reinforcement learning on live traffic."""

__version__ = "0.1.0"
