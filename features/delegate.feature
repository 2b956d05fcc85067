Feature: A few coordinators of each zone run the wide queries

  # A query over at least 48 shards is wide. Hosts delegate wide queries to the
  # coordinators of their zone, and the part of a query whose shards are in
  # another zone to hosts there. A host that receives a delegated query
  # acknowledges it with an interim reply (100 Continue).

  Scenario: a host with a slow link delegates a wide query
    Given 6 gateways in front of 60 shards, 2 of the gateways with a fast link
    When every gateway is asked for all shards
    Then every answer is complete
    And only the 2 gateways with a fast link sent requests to the shards

  Scenario: a narrow query is run by the host that received it
    Given 6 gateways in front of 20 shards, 2 of the gateways with a fast link
    When every gateway is asked for all shards
    Then every answer is complete
    And all 6 gateways sent requests to the shards

  Scenario: two of several equal hosts become coordinators
    Given 6 gateways in front of 60 shards, 0 of the gateways with a fast link
    When every gateway is asked for all shards
    Then every answer is complete
    And only 2 gateways sent requests to the shards

  Scenario: queries do not wait for a killed coordinator
    Given 6 gateways in front of 60 shards, 2 of the gateways with a fast link
    When one gateway with a fast link is killed
    And every gateway is asked for all shards
    Then every answer is complete

  # The coordinators share a fraction of 0.6 of the slack and the other hosts
  # 0.25, here 2 x 6 and 4 x 1.25 of 20. The rest is reserved for hosts that
  # become coordinators.
  Scenario: coordinators share most of the slack of the extra request budget
    Given 6 gateways in front of 60 shards, 2 of the gateways with a fast link
    Then a gateway with a fast link may send 6 extra requests to a shard, of a slack of 20
    And a gateway with a slow link may send 1.25 extra requests to a shard, of a slack of 20

  Scenario: queries are answered without the hosts with fast links
    Given 6 gateways in front of 60 shards, 2 of the gateways with a fast link
    When both gateways with a fast link are killed
    And every gateway is asked for all shards
    Then every answer is complete

  Scenario: a coordinator that hangs loses only the queries it already has
    Given 6 gateways in front of 60 shards, 2 of the gateways with a fast link
    When one gateway with a fast link stops answering its peers
    And every gateway is asked for all shards 4 times
    Then some gateways have lost queries, none more than 1
    And no shard got a request twice

  Scenario: a query that another host may run is not answered as not run
    Given 4 gateways in front of 60 shards, 2 of the gateways with a fast link
    When both gateways with a fast link are frozen
    And the gateways with a slow link are asked for all shards, and admit none
    Then every answer is 502

  Scenario: a coordinator that stops accepts no queries and finishes those it has
    Given 6 gateways in front of 60 shards that take 0.1 seconds per request, 2 of the gateways with a fast link
    When one gateway with a fast link is stopped while it runs queries for others
    Then every answer is complete

  Scenario: no query is delegated to a host with an older table
    Given 6 gateways in front of 60 shards, 2 of the gateways with a fast link
    When one gateway with a fast link keeps an older table
    And the shards are replaced by 50 others
    And every gateway but that one is asked for all shards
    Then every answer covers the 50 new shards

  Scenario: queries are delegated to a host with an older table but the same route
    Given 6 gateways in front of 60 shards, 2 of the gateways with a fast link
    When one gateway with a fast link keeps an older table
    And the timeout of "/other/" changes
    And every gateway but that one is asked for all shards
    Then every answer is complete
    And only the 2 gateways with a fast link sent requests to the shards

  Scenario: parts are delegated to hosts with an older table but the same route
    Given 3 gateways in each of two zones of a region in front of 60 shards, half of them in each zone
    When the gateways of the other zone keep an older table
    And the timeout of "/other/" changes
    And every gateway of the first zone is asked for all shards
    Then every answer is complete and has the greatest records
    And shards of each zone got 90 requests, all from gateways of their own zone

  Scenario Outline: no query is delegated to a host whose route for it differs: <what>
    Given 6 gateways in front of 60 shards, 2 of the gateways with a fast link
    When one gateway with a fast link keeps an older table
    And the route "/all/" <what>
    And every gateway but that one is asked for all shards
    Then that gateway sent nothing to the shards

    Examples:
      | what                         |
      | asks for the greatest 7      |
      | may be handled in "north"    |
      | allows 1 attempt             |

  Scenario: a caller that disconnects stops the work at the shards
    Given 6 gateways in front of 60 shards that take 5 seconds per request, 2 of the gateways with a fast link
    When a caller of a gateway with a slow link disconnects after 0.2 seconds
    And 0.5 seconds pass
    Then every upstream has aborted its requests

  Scenario: extra requests of delegated queries are bounded too
    Given 6 gateways in front of 60 shards, 2 of the gateways with a fast link
    And every upstream of shard 7 is silent
    When a gateway with a slow link is sent 30 queries a second for 10 seconds
    Then shard 7 got at most 0.2 extra requests per query plus 20

  Scenario: both hosts log a delegated query
    Given 6 gateways in front of 60 shards, 2 of the gateways with a fast link
    When every gateway is asked for all shards
    Then the log has two lines for each delegated query

  Scenario: shards of another zone are queried from there and merged
    Given 3 gateways in each of two zones of a region in front of 60 shards, half of them in each zone
    When every gateway is asked for all shards
    Then every answer is complete and has the greatest records
    And shards of each zone got requests only from gateways of their own zone

  Scenario: queries are answered without the hosts of the other zone
    Given 3 gateways in each of two zones of a region in front of 60 shards, half of them in each zone
    When the gateways of the other zone are killed
    And every gateway is asked for all shards
    Then every answer is complete and has the greatest records

  Scenario: the reported coverage is right if a shard of the other zone fails
    Given 3 gateways in each of two zones of a region in front of 60 shards, half of them in each zone
    And every upstream of shard 7 is failing
    When every gateway is asked for all shards
    Then every answer reports 1 missing shard of 60

  Scenario: a host waits for late shards of the other zone until coverage reaches the minimum
    Given 3 gateways in each of two zones of a region in front of 60 shards, half of them in each zone
    And 6 shards of the other zone and 0 of the first zone reply after 3 seconds
    And 1 more shard of the other zone and 3 of the first zone reply after 0.7 seconds
    When every gateway of the first zone is asked for all shards
    Then every answer takes at least 0.7 seconds and covers at least a fraction of 0.9

  Scenario: a part with too few shards is not delegated to the other zone
    Given 3 gateways in each of two zones of a region in front of 60 shards, 4 of them in the other zone
    When every gateway of the first zone is asked for all shards
    Then every answer is complete and has the greatest records
    And no gateway of the other zone sent requests to the shards

  Scenario: all shards are in the other zone
    Given 3 gateways in each of two zones of a region in front of 60 shards, 60 of them in the other zone
    When every gateway of the first zone is asked for all shards
    Then every answer is complete and has the greatest records
    And it took less than 0.1 seconds in total

  Scenario: shards of another region are queried from there and merged
    Given 3 gateways in each of two regions in front of 20 shards, 7 of them in the other region
    When every gateway of the first zone is asked for all shards
    Then every answer is complete and has the greatest records
    And the shards of the other region got requests only from its gateways

  Scenario: a part with two shards is not delegated to another region
    Given 3 gateways in each of two regions in front of 20 shards, 2 of them in the other region
    When every gateway of the first zone is asked for all shards
    Then every answer is complete and has the greatest records
    And no gateway of the other zone sent requests to the shards

  Scenario: frozen hosts of another region do not delay queries
    Given 3 gateways in each of two regions in front of 20 shards, 7 of them in the other region
    When the gateways of the other region are frozen
    And every gateway of the first zone is asked for all shards
    Then every answer is complete and has the greatest records
    And it took less than 0.1 seconds in total
    And no gateway of the other zone sent requests to the shards

  Scenario: a part is queried again if its connection to another region is cut
    Given 3 gateways in each of two regions in front of 20 shards, 7 of them in the other region
    When the connections to the gateways of the other region are cut while the first zone is asked for all shards
    Then every answer is complete and has the greatest records
    And no shard got a request more than 2 times

  Scenario: a lost part is not queried again if a second attempt may exceed the attempt limit
    Given 3 gateways in each of two regions in front of 20 shards of 3 replicas, 7 of them in the other region
    When the connections to the gateways of the other region are cut while the first zone is asked for all shards
    Then every answer is 502
    And no shard got a request more than 1 times

  Scenario: a part that was not acknowledged is not queried again if a second attempt may exceed the attempt limit
    Given 3 gateways in each of two regions in front of 20 shards of 3 replicas, 7 of them in the other region
    When the gateways of the other region stop reading from open connections
    And every gateway of the first zone is asked for all shards
    Then every answer is 502
    And no shard got a request more than 1 times

  Scenario: a delegated query that was not acknowledged is not run again if a second attempt may exceed the attempt limit
    Given 6 gateways in front of 60 shards of 3 replicas, 2 of the gateways with a fast link
    When one gateway with a fast link is frozen
    And a gateway with a slow link is asked for all shards until a query is delegated to the frozen one
    Then that query is lost
    And no shard got a request more than 1 times

  Scenario: a frozen host loses no wide query
    Given 6 gateways in front of 60 shards, 2 of the gateways with a fast link
    When one gateway with a fast link is frozen
    And every gateway is asked for all shards 2 times
    Then every answer is complete
    And no shard got a request twice

  Scenario: a round trip that was measured as too long is measured again
    Given 3 gateways in each of two regions in front of 20 shards, 7 of them in the other region
    When the round trip to the other region is measured as 2 seconds
    And every gateway of the first zone is asked for all shards
    And 1 second passes
    And every gateway of the first zone is asked for all shards
    Then every answer is complete and has the greatest records
    And the gateways of the other region sent requests to the shards

  Scenario: a body reaches the shards of another region unchanged
    Given 3 gateways in each of two regions in front of 20 shards, 7 of them in the other region
    When a gateway of the first zone is asked for all shards by POST with a body of 300000 bytes
    Then every shard ran it as POST with the same body

  Scenario: a long request head reaches the shards of another region
    Given 3 gateways in each of two regions in front of 20 shards, 7 of them in the other region
    When a gateway of the first zone is asked for all shards with a head of 16000 bytes
    Then every shard ran it as GET with the same body
