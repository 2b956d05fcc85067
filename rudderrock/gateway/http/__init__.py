"""HTTP/1.1 between a gateway and its callers, upstreams and peer hosts.

The modules parse and write messages, define the header names, pool
connections to one address, classify the outcomes of attempts and accept the
connections of callers.
"""
