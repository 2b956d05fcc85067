Feature: Who runs wide queries follows the load, not the number of hosts

  Scenario: more hosts than the load needs do not share it
    Given 20 gateways before 60 shards, of which 2 have a wide link
    When every gateway is asked for all shards
    Then every answer is whole
    And only the 2 gateways with a wide link sent to the shards

  Scenario: a burst that two links can't carry is spread over more, and two are left after it
    Given 8 gateways with links of 1250000 bytes a second before 60 shards with parts of 960 bytes
    When the gateways are asked for all shards 60 times a second for 2 seconds
    Then every answer is whole
    And no gateway ran more than 0.33 of the queries
    And the log says whom gateways ask from then on, and by what load
    When 1 second passes
    And each gateway in turn is asked for all shards, 0.1 seconds apart
    Then only 2 gateways sent to the shards since then

  # With one host in five, 8 of 40, it took 540 connections; with two 120.
  Scenario: connections to shards do not grow with the number of hosts
    Given 40 gateways before 60 shards, of which 2 have a wide link
    When the gateways are asked for all shards 8 times a second for 20 seconds
    Then every answer is whole
    And 120 connections to shards were opened

  Scenario: where all are full the query is run all the same
    Given 2 gateways with links of 100000 bytes a second before 60 shards with parts of 960 bytes
    When the gateways are asked for all shards 10 times a second for 2 seconds
    Then every answer is whole

  Scenario: hosts of another zone that are full pass a part on
    Given 3 gateways with links of 100000 bytes a second in each of two zones before 60 shards with parts of 960 bytes, all in the other
    When the gateways of the first zone are asked for all shards 6 times a second for 2 seconds
    Then every answer is whole
    And no gateway ran more than 0.6 of the queries

  Scenario: a query has room while what is begun delays it by a tenth of its goal
    Given a host of 2 cores with a link of 12500000 bytes a second
    And its queries ask 87 shards and receive 87000 bytes
    When it begins 3 queries at once
    Then the next is delayed by 26.1 ms
    And a query with a goal of 0.3 seconds has room
    And a query with a goal of 0.1 seconds has none
    When 0.03 seconds pass
    Then a query with a goal of 0.1 seconds has room

  Scenario: the processor counts where the link does not bind
    Given a host of 0.1 cores with a link of 125000000 bytes a second
    And its queries ask 87 shards and receive 8700 bytes
    When it begins 1 queries at once
    Then the next is delayed by 52.2 ms

  Scenario: a link of unknown speed does not count
    Given a host of 2 cores with a link of 0 bytes a second
    And its queries ask 87 shards and receive 87000 bytes
    When it begins 1 queries at once
    Then the next is delayed by 2.6 ms

  Scenario: what a host says that is no reason is not repeated in the log
    Given 6 gateways before 60 shards, of which 2 have a wide link
    When one gateway with a wide link sends queries back with nonsense
    And every gateway is asked for all shards 2 times
    Then every answer is whole
    And lines say that it gave no reason that is known
