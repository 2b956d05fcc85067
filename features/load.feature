Feature: Callers are served under load and faults

  Scenario: upstreams that pause in turn cost a wide query neither shards nor time
    Given 90 shards of 2 replicas that pause for 0.25 seconds each 6 seconds
    And the route "/all/" to all shards, at least 0.95 of them
    And a gateway
    When callers ask for "/all/1" 10 times a second for 12 seconds
    Then 0.96 of the answers come by the goal of 0.2 seconds
    And they lack 0.001 of the shards or less
    And no shard got more than 0.2 extra requests a query, and 20
