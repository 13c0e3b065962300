"""Duties that one of all gateways does for the platform: reports of use by client account."""
