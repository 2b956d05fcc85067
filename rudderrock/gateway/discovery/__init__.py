"""Discovery of routes, upstreams, hosts and zones.

The data comes from the source or from peers, with the age of each reading.
This package also keeps this host registered.
"""
