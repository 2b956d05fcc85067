"""rudderrock, a query tier over many shards that many teams share.

The packages are layers, each using only those before it: `state` holds what
a host knows, `protocol` the messages, `transport` the ports to everything
outside the process, `coordination` the decisions. `root` wires them, and
`programs` are the commands.
"""

__version__ = '0.1.0'
