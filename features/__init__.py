"""Scripted scenarios, run by `python -m features.run`."""
