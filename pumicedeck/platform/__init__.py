"""Adapter that translates between the users' platform and the gateway; contains no decisions."""
