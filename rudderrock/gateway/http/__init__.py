"""HTTP as a gateway speaks it: to callers, to upstreams and to its peers.

Messages and the names of their headers, connections to one address, what an
outcome on one of them says, and the connections of callers.
"""
