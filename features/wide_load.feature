Feature: The number of coordinators depends on the load, not on the number of hosts

  Scenario: only as many hosts as the load needs run wide queries
    Given 20 gateways in front of 60 shards, 2 of the gateways with a fast link
    When every gateway is asked for all shards
    Then every answer is complete
    And only the 2 gateways with a fast link sent requests to the shards

  Scenario: a burst that exceeds two links is spread over more hosts, and two remain after it
    Given 8 gateways with links of 1250000 bytes a second in front of 60 shards with parts of 960 bytes
    When the gateways are asked for all shards 60 times a second for 2 seconds
    Then every answer is complete
    And no gateway ran more than 0.33 of the queries
    And the log reports the new coordinators and the load that led to the change
    When 1 second passes
    And each gateway in turn is asked for all shards, 0.1 seconds apart
    Then only 2 gateways sent requests to the shards after that

  # Two coordinators need 120 connections, 60 each. One coordinator for every
  # five hosts, 8 of 40, would need 540.
  Scenario: the number of connections to shards does not grow with the number of hosts
    Given 40 gateways in front of 60 shards, 2 of the gateways with a fast link
    When the gateways are asked for all shards 8 times a second for 20 seconds
    Then every answer is complete
    And 120 connections to shards were opened

  # A host is full if its estimated delay exceeds a tenth of the query's latency
  # goal.
  Scenario: a query is run even if all hosts are full
    Given 2 gateways with links of 100000 bytes a second in front of 60 shards with parts of 960 bytes
    When the gateways are asked for all shards 10 times a second for 2 seconds
    Then every answer is complete

  Scenario: full hosts of another zone refuse parts, which other hosts run
    Given 3 gateways with links of 100000 bytes a second in each of two zones in front of 60 shards with parts of 960 bytes, all in the other zone
    When the gateways of the first zone are asked for all shards 6 times a second for 2 seconds
    Then every answer is complete
    And no gateway ran more than 0.6 of the queries

  Scenario: a host has room for a query if the delay is at most a tenth of the query's goal
    Given a host of 2 cores with a link of 12500000 bytes a second
    And each of its queries asks 87 shards and receives 87000 bytes
    When it starts 3 queries at once
    Then the estimated delay of the next query is 26.1 ms
    And a query with a goal of 0.3 seconds has room
    And a query with a goal of 0.1 seconds has none
    When 0.03 seconds pass
    Then a query with a goal of 0.1 seconds has room

  Scenario: the CPU determines the delay if the link is not the bottleneck
    Given a host of 0.1 cores with a link of 125000000 bytes a second
    And each of its queries asks 87 shards and receives 8700 bytes
    When it starts 1 queries at once
    Then the estimated delay of the next query is 52.2 ms

  Scenario: a link of unknown speed adds no delay
    Given a host of 2 cores with a link of 0 bytes a second
    And each of its queries asks 87 shards and receives 87000 bytes
    When it starts 1 queries at once
    Then the estimated delay of the next query is 2.6 ms

  Scenario: an unknown reason for a refusal is not copied to the log
    Given 6 gateways in front of 60 shards, 2 of the gateways with a fast link
    When one gateway with a fast link refuses queries with a malformed reason
    And every gateway is asked for all shards 2 times
    Then every answer is complete
    And the log reports that the reason is unknown
