"""A rollout service for reinforcement learning, between callers and model endpoints.

An entry accepts requests from callers and trainers and routes them to agents; an agent runs them at
the endpoint beside it, a model engine or a plain service. On the deployment platform, gateways take
the place of both and call the endpoints directly.
"""
