"""Measurements of what a router needs, beside the program."""
