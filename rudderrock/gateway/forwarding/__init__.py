"""Forwarding of requests from callers to upstreams.

`_gateway` routes a request. `_forward` sends one call to its services; a
`_service_call` handles each service, with retries and a hedge. `_gather`,
`_parts` and `_delegate` distribute a query over shards and hosts and merge
the answers.
"""
