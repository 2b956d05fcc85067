"""Decisions that a host takes for each request and connection.

They select the next upstream, limit extra requests and connections, admit
queries, and select the hosts that coordinate wide queries.
"""
