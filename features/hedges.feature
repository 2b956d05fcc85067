Feature: Hedges of wide queries are answered in time over open connections

  # Each of 60 shards has a local replica that pauses for 0.12 s in every 3 s
  # and a remote one that takes 0.03 s to connect; the latency goal is 0.085 s.
  # Guards against hedges that miss the goal because they have to connect
  # first: 100 queries missed 43 shards when each hedge without a connection
  # opened one, and 2 shards when one connection was kept open.
  Scenario: a hedge to another region uses an open connection
    Given 2 gateways in front of 60 shards with a local replica that pauses and a remote one that takes 0.03 seconds to connect
    When the gateways are asked for all shards 5 times a second for 20 seconds
    Then every answer is complete or reports its missing shards
    And at most 4 shards are missing from all answers together
    And every answer took less than 0.085 seconds

  Scenario: a gateway keeps one remote connection per shard
    Given 2 gateways in front of 60 shards with a local replica that pauses and 2 remote ones that take 0.03 seconds to connect
    When the gateways are asked for all shards 5 times a second for 4 seconds
    Then each gateway is connected to 1 remote replica of each shard, or to 2 for at most 6 shards
