"""Randomized soak tests of real gateway processes under external faults."""
