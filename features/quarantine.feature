Feature: A request that crashes upstreams is kept from them

  # What users saw: for three seconds at a time no wide query was answered,
  # five times in 90 seconds, while hosts, links and the store were well.
  # Order of events: a wide query ran at one upstream of each of 20 shards; all
  # of them crashed within 80 ms. Hedges and retries took it to the other
  # upstreams, which crashed too. Copies of it came to other hosts, under other
  # ids; these asked whoever was back. 146 upstreams ended under one request.
  # Cause: what a host learns from an attempt goes with the attempt. Nothing
  # that outlives it, and nothing that other hosts hear, says which request an
  # upstream had when it ended.
  # Evidence: all lines of the query have one digest, some 20 lost attempts and
  # no answer, at each host; queries that lost attempts beside it have answers
  # from the other shards. Every upstream that ended had begun to run it.
  Scenario: the log tells copies of a request that lost its upstreams from others
    Given 6 shards of 2 replicas
    And the route "/all/" to all shards
    And a request for "/all/lethal" crashes every upstream that runs it
    And a gateway
    When a caller sends GET "/all/lethal"
    And 4 seconds pass
    And a caller sends GET "/all/lethal"
    Then the 2 lines of "/all/lethal" have one digest and tell of 6 lost attempts at least
    When 4 seconds pass
    And a caller sends GET "/all/plain"
    Then the reply is 200
    And its line has no digest

  Scenario: copies of a request that crashed its upstreams reach three more times at most
    Given 2 gateways in each of two zones before 6 shards of 2 upstreams
    And a request for "/all/lethal" crashes every upstream that runs it
    When copies of "/all/lethal" come to all gateways in turn, 4 a second for 20 seconds
    Then it was sent in at most 3 retries later than 4 seconds after the third crash
    And at most 24 upstreams have crashed

  Scenario: copies of a request to one service reach it three more times at most
    Given 2 gateways in each of two zones before 1 shard of 4 upstreams
    And the route "/one/" to one of the shards
    And a request for "/one/lethal" crashes every upstream that runs it
    When copies of "/one/lethal" come to all gateways in turn, 4 a second for 20 seconds
    Then it was sent in at most 3 retries later than 4 seconds after the third crash
    And at most 8 upstreams have crashed
