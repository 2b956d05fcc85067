Feature: A request that crashes upstreams is kept from them

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
