"""rudderrock, a multi-tenant query tier over sharded upstreams.

The packages are layers, and each imports only the ones listed before it:
`state` defines the data of a host, `protocol` the messages, `transport` the
interfaces to services outside the process, and `coordination` the
scheduling and routing of requests. `root` constructs and connects the
objects, and `programs` contains the commands.
"""

__version__ = '0.1.0'
