"""Runs the command line."""

from pumicedeck.cli import main

main()
