"""Tests of pumicedeck."""
