Feature: Work goes where it is done soonest when hosts and upstreams are uneven

  # A slow host would get half of the zone's wide queries by its stated cores.
  # The other coordinator and the hosts ranked next have room for them.
  Scenario: a host that turns five times slower steps back before it loses queries
    Given 8 gateways with a goal of 0.2 seconds in front of 60 shards, 2 of them coordinators that take 0.012 seconds per query
    When the other gateways are asked for all shards 40 times a second for 2 seconds
    Then at least 0.99 of the answers of the last 2 seconds take at most 0.2 seconds
    When one coordinator turns 5 times slower
    And the other gateways are asked for all shards 40 times a second for 6 seconds
    Then at least 0.97 of the answers of the last 6 seconds take at most 0.2 seconds
    And the slow coordinator started at most 0.2 of the queries of the last 5 seconds
    And no query was lost
    And at most 0.01 of the requests to shards were extra ones
    And the log reports that the slow coordinator has noticed it
    When the slow coordinator turns as fast as before
    And 3 seconds pass
    And the other gateways are asked for all shards 40 times a second for 4 seconds
    Then the slow coordinator started at least 0.3 of the queries of the last 4 seconds

  # A zone can run 50 queries a second, and 30 without long waits. Both zones
  # together have room for all queries at any time.
  Scenario: two zones whose load swings out of step help each other and do not swap their work
    Given 2 gateways in each of two zones with a goal of 0.3 seconds in front of 48 shards with a replica in each zone, that take 0.04 seconds per query
    When each zone in turn is asked 48 times a second for 2 seconds while the other is asked 4 times a second, 2 times
    Then at least 0.9 of the answers take at most 0.3 seconds
    And the zone with less load sent at most 2 queries to the other one
    When 2 seconds pass
    And both zones are asked 10 times a second for 2 seconds
    Then at least 0.99 of the answers take at most 0.3 seconds
    And each zone has run its own queries

  Scenario: one long query does not make a host slow, two in a row do
    Given a host that has sent 60 requests in 3 ms 10 times
    When it sends 60 requests in 30 ms
    And it sends 60 requests in 3 ms
    Then the host is not slow
    When it sends 60 requests in 18 ms
    Then the host is not slow
    When it sends 60 requests in 18 ms
    Then the host is slow
    When it sends 5 requests in 0.2 ms
    Then the host is slow
    When 4 seconds pass
    Then the host is not slow

  Scenario: a host that wakes after a freeze refuses queries until it runs on time
    Given a host that samples the delay of its event loop
    Then a query with a goal of 0.3 seconds has room
    When it is frozen for 1 second during a sample
    Then a query with a goal of 0.3 seconds has none
    When 20 samples are on time
    Then a query with a goal of 0.3 seconds has room
