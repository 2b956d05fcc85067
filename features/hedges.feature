Feature: Hedges of wide queries come back in time, and no sooner than they must

  # 60 shards, each with a near replica that pauses for 0.12 s in every 3 s and
  # a far one that takes 0.03 s for a connection; goal 0.085 s. With a connection
  # opened for each hedge that found none, 100 queries lacked 43 shards; with
  # one kept 2.
  Scenario: a hedge into another region finds a connection open
    Given 2 gateways before 60 shards with a near replica that pauses and a far one that takes 0.03 seconds for a connection
    When the gateways are asked for all shards 5 times a second for 20 seconds
    Then every answer is whole or lacks the shards that it says
    And all answers together lack at most 4 shards
    And every answer took less than 0.085 seconds

  Scenario: a gateway keeps one far connection a shard, and no more
    Given 2 gateways before 60 shards with a near replica that pauses and 2 far ones that take 0.03 seconds for a connection
    When the gateways are asked for all shards 5 times a second for 4 seconds
    Then each gateway has a connection to 1 far replica of each shard, or to 2 of at most 6 shards
