"""Client accounts: which account a request belongs to, and what follows from it."""
