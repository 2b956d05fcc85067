"""Benchmarks, run by `python -m benchmarks.run`."""
