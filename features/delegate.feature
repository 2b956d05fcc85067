Feature: Wide queries are run by the few hosts of a zone that are best at it

  Scenario: a host with a thin link hands a wide query over
    Given 6 gateways before 60 shards, of which 2 have a wide link
    When every gateway is asked for all shards
    Then every answer is whole
    And only the 2 gateways with a wide link sent to the shards

  Scenario: a narrow query is run where it came
    Given 6 gateways before 20 shards, of which 2 have a wide link
    When every gateway is asked for all shards
    Then every answer is whole
    And all 6 gateways sent to the shards

  Scenario: hosts that are all alike choose two of them
    Given 6 gateways before 60 shards, of which 0 have a wide link
    When every gateway is asked for all shards
    Then every answer is whole
    And only 2 gateways sent to the shards

  Scenario: a host that is gone is not waited for
    Given 6 gateways before 60 shards, of which 2 have a wide link
    When one gateway with a wide link is killed
    And every gateway is asked for all shards
    Then every answer is whole

  Scenario: the hosts that run wide queries share most of the slack of their budget
    Given 6 gateways before 60 shards, of which 2 have a wide link
    Then a gateway with a wide link may send 6 extra requests to a shard, of a slack of 20
    And a gateway with a thin link may send 1.25 extra requests to a shard, of a slack of 20

  Scenario: all able hosts are gone
    Given 6 gateways before 60 shards, of which 2 have a wide link
    When both gateways with a wide link are killed
    And every gateway is asked for all shards
    Then every answer is whole

  Scenario: a frozen host costs the queries that it has, and no more
    Given 6 gateways before 60 shards, of which 2 have a wide link
    When one gateway with a wide link goes silent to its peers
    And every gateway is asked for all shards 4 times
    Then no gateway has lost more than 1 query
    And no shard got a request twice

  Scenario: a host that stops takes none, and ends what it has
    Given 6 gateways before 60 shards that work for 0.1 seconds, of which 2 have a wide link
    When one gateway with a wide link is told to stop while it runs queries for others
    Then every answer is whole

  Scenario: a host with an older table is not used
    Given 6 gateways before 60 shards, of which 2 have a wide link
    When one gateway with a wide link keeps an older table
    And the shards are replaced by 50 others
    And every gateway but that one is asked for all shards
    Then every answer is whole and of the 50 others

  Scenario: a host with an older table that says the same of a query is used
    Given 6 gateways before 60 shards, of which 2 have a wide link
    When one gateway with a wide link keeps an older table
    And the timeout of "/other/" changes
    And every gateway but that one is asked for all shards
    Then every answer is whole
    And only the 2 gateways with a wide link sent to the shards

  Scenario: parts are asked of hosts with an older table that says the same of a query
    Given 3 gateways in each of two zones of a region before 60 shards, half in each
    When the gateways of the other zone keep an older table
    And the timeout of "/other/" changes
    And every gateway of the first zone is asked for all shards
    Then every answer is whole, with the greatest records
    And shards of each zone were asked 90 times, from their own zone

  Scenario Outline: a host whose table says something else of a query is not used: <what>
    Given 6 gateways before 60 shards, of which 2 have a wide link
    When one gateway with a wide link keeps an older table
    And the route "/all/" <what>
    And every gateway but that one is asked for all shards
    Then that gateway sent nothing to the shards

    Examples:
      | what                         |
      | asks for the greatest 7      |
      | may be handled in "north"    |
      | allows 1 attempt             |

  Scenario: a caller that leaves stops the work at the shards
    Given 6 gateways before 60 shards that work for 5 seconds, of which 2 have a wide link
    When a caller of a gateway with a thin link leaves after 0.2 seconds
    And 0.5 seconds pass
    Then no shard is at work for anybody

  Scenario: extra requests of queries that were handed over are bounded too
    Given 6 gateways before 60 shards, of which 2 have a wide link
    And every upstream of shard 7 is silent
    When a gateway with a thin link is asked 30 times a second for 10 seconds
    Then shard 7 got no more than 0.2 extra arrivals a request and 20

  Scenario: the log of both hosts tells of a query that was handed over
    Given 6 gateways before 60 shards, of which 2 have a wide link
    When every gateway is asked for all shards
    Then the log has two lines of each query that was handed over

  Scenario: the other zone's shards are asked from there, and merged
    Given 3 gateways in each of two zones of a region before 60 shards, half in each
    When every gateway is asked for all shards
    Then every answer is whole, with the greatest records
    And shards of each zone were only asked from their own zone

  Scenario: the other zone's hosts are gone
    Given 3 gateways in each of two zones of a region before 60 shards, half in each
    When the gateways of the other zone are killed
    And every gateway is asked for all shards
    Then every answer is whole, with the greatest records

  Scenario: coverage is true when a shard of the other zone fails
    Given 3 gateways in each of two zones of a region before 60 shards, half in each
    And every upstream of shard 7 is failing
    When every gateway is asked for all shards
    Then every answer tells of 1 missing shard of 60

  Scenario: what the other zone lacks is waited for here
    Given 3 gateways in each of two zones of a region before 60 shards, half in each
    And 6 shards of the other zone and 0 of the first work for 3 seconds
    And 1 more shard of the other zone and 3 of the first work for 0.7 seconds
    When every gateway of the first zone is asked for all shards
    Then every answer comes after 0.7 seconds and covers at least 0.9

  Scenario: too few shards of the other zone are asked from here
    Given 3 gateways in each of two zones of a region before 60 shards, 4 in the other
    When every gateway of the first zone is asked for all shards
    Then every answer is whole, with the greatest records
    And no gateway of the other zone was asked

  Scenario: all shards are in the other zone
    Given 3 gateways in each of two zones of a region before 60 shards, 60 in the other
    When every gateway of the first zone is asked for all shards
    Then every answer is whole, with the greatest records
    And it took less than 0.1 seconds in all

  Scenario: shards of another region are asked from there, and merged
    Given 3 gateways in each of two regions before 20 shards, 7 in the other
    When every gateway of the first zone is asked for all shards
    Then every answer is whole, with the greatest records
    And the shards of the other region were asked by its gateways only

  Scenario: two shards of another region are asked from here
    Given 3 gateways in each of two regions before 20 shards, 2 in the other
    When every gateway of the first zone is asked for all shards
    Then every answer is whole, with the greatest records
    And no gateway of the other zone was asked

  Scenario: frozen hosts of another region are done without
    Given 3 gateways in each of two regions before 20 shards, 7 in the other
    When the gateways of the other region are frozen
    And every gateway of the first zone is asked for all shards
    Then every answer is whole, with the greatest records
    And it took less than 0.1 seconds in all
    And no gateway of the other zone was asked

  Scenario: hosts of another region that are cut off with a part are done without
    Given 3 gateways in each of two regions before 20 shards, 7 in the other
    When the gateways of the other region lose their connections while the first zone asks for all shards
    Then every answer is whole, with the greatest records
    And no shard got a request more than 2 times

  Scenario: a lost part is not asked again if that might be one attempt too many
    Given 3 gateways in each of two regions before 20 shards of 3 replicas, 7 in the other
    When the gateways of the other region lose their connections while the first zone asks for all shards
    Then every answer is 502
    And no shard got a request more than 1 times

  Scenario: a part without a sign is not asked again if that might be one attempt too many
    Given 3 gateways in each of two regions before 20 shards of 3 replicas, 7 in the other
    When the gateways of the other region read nothing any more on open connections
    And every gateway of the first zone is asked for all shards
    Then every answer is 502
    And no shard got a request more than 1 times

  Scenario: a wide query without a sign is not run again if that might be one attempt too many
    Given 6 gateways before 60 shards of 3 replicas, of which 2 have a wide link
    When one gateway with a wide link is frozen
    And a gateway with a thin link is asked for all shards until the frozen one is asked
    Then it is lost
    And no shard got a request more than 1 times

  Scenario: a frozen host costs no wide query
    Given 6 gateways before 60 shards, of which 2 have a wide link
    When one gateway with a wide link is frozen
    And every gateway is asked for all shards 2 times
    Then every answer is whole
    And no shard got a request twice

  Scenario: a way that seemed long at first is measured again
    Given 3 gateways in each of two regions before 20 shards, 7 in the other
    When the ways to the other region seem to take 2 seconds
    And every gateway of the first zone is asked for all shards
    And 1 second passes
    And every gateway of the first zone is asked for all shards
    Then every answer is whole, with the greatest records
    And the gateways of the other region were asked

  Scenario: a body reaches the shards of another region unchanged
    Given 3 gateways in each of two regions before 20 shards, 7 in the other
    When a gateway of the first zone is asked for all shards by POST with a body of 300000 bytes
    Then every shard ran it as POST with that body

  Scenario: a long head reaches the shards of another region
    Given 3 gateways in each of two regions before 20 shards, 7 in the other
    When a gateway of the first zone is asked for all shards with a head of 16000 bytes
    Then every shard ran it as GET with that body
