"""Discovery of routes, upstreams, hosts and zones.

The data comes from the source, which is the store of configuration and
registrations, or from peers, which are other hosts, with the age of each
reading. This package also keeps this host registered.
"""
