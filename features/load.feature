Feature: Callers are served under load and faults

  Scenario: wide queries stay complete and on time while upstreams pause in turn
    Given 90 shards of 2 replicas that pause for 0.25 seconds every 6 seconds
    And the route "/all/" to all shards, at least 0.95 of them
    And a gateway
    When callers ask for "/all/1" 10 times a second for 12 seconds
    Then at least 0.96 of the answers meet the latency goal of 0.2 seconds
    And at most 0.001 of the shards are missing from the answers
    And no shard received more than 0.2 extra requests per query plus 20
