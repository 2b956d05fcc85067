"""The way of a request: from a caller to upstreams and back.

`_gateway` routes it; `_forward` carries one call to its services, each of
which is a `_pursuit`; `_gather`, `_parts` and `_delegate` spread a query over
shards and hosts, and merge what comes back.
"""
