"""A rollout service for reinforcement learning, between callers and model endpoints."""
