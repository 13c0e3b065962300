"""Adapter between the deployment platform's wire formats and the gateway; only translates."""
