"""Scenarios, run by `python -m features.run`."""
