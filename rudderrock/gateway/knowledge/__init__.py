"""What a host knows, and how it learns it.

Routes, upstreams, other hosts and their zones, read from the source or told
by peers, with the age of each reading; and this host's own registration.
"""
