Feature: Requests stay in their regions, and avoid evacuated zones and cold upstreams

  Scenario Outline: a request is sent only to regions of its route: near is <near>, far is <far>
    Given an upstream "near" of "notes" in "north-1"
    And an upstream "far" of "notes" in "south-1"
    And the route "/notes/" to "notes" within "south"
    And "near" is <near>
    And "far" is <far>
    And a gateway
    When 10 requests for "/notes/1" are sent at 20 a second
    Then nothing has reached "near"

    Examples:
      | near | far       |
      | good | good      |
      | good | failing   |
      | good | silent    |
      | good | shedding  |
      | good | resetting |
      | good | misdirected |

  Scenario: a request restricted to another region is answered there
    Given an upstream "near" of "notes" in "north-1"
    And an upstream "far" of "notes" in "south-1"
    And the route "/notes/" to "notes" within "south"
    And a gateway
    When 10 requests for "/notes/1" are sent at 20 a second
    Then every reply is 200
    And "near" ran 0 of them and "far" 10

  Scenario Outline: without an upstream in its regions a request is refused at once: <region>
    Given an upstream "near" of "notes" in "north-1"
    And the route "/notes/" to "notes" within "<region>"
    And a gateway
    When a caller sends GET "/notes/1"
    Then the reply is 503
    And the reply has a Retry-After of less than 1 second
    And it took less than 0.05 seconds
    And nothing has reached "near"

    Examples:
      | region  |
      | south   |
      | nowhere |

  Scenario: an unknown region is logged, and the table is applied
    Given an upstream "near" of "notes" in "north-1"
    And the route "/notes/" to "notes" within "nowhere"
    And the route "/other/" to "notes"
    And a gateway
    When a caller sends GET "/other/1"
    Then only "near" ran it
    And the log has a line "regions_unknown"

  Scenario: a query over shards stays in its regions
    Given 6 shards of 2 replicas
    And the route "/all/" to all shards within "south"
    And the near upstream of shard 3 is good
    And a gateway
    When a caller sends GET "/all/1"
    Then the reply is 200
    And 0 shards are missing and the reply has the stamps of 6
    And nothing has reached an upstream of "north-1"

  Scenario: a restriction of a route takes effect within 0.1 seconds
    Given an upstream "near" of "notes" in "north-1"
    And an upstream "far" of "notes" in "south-1"
    And the route "/notes/" to "notes"
    And a gateway
    When the route "/notes/" is restricted to "south"
    And 0.1 seconds pass
    And a caller sends GET "/notes/1"
    Then only "far" ran it

  Scenario: a host outside of a query's regions does not delegate it
    Given 6 gateways in front of 60 shards, 2 of the gateways with a fast link
    And the route "/all/" is restricted to "south" on all gateways
    When every gateway is asked for all shards
    Then no gateway delegated a query to another
    And nothing has reached an upstream of "north-1"

  Scenario: the parts of a query are delegated only to hosts in its regions
    Given 3 gateways in each of two zones of a region in front of 60 shards, half of them in each zone
    And the route "/all/" is restricted to "south" on all gateways
    When every gateway is asked for all shards
    Then no gateway delegated a query to another

  Scenario Outline: an evacuated zone gets no requests: near is <near>, far is <far>
    Given an upstream "near" of "notes" in "north-1"
    And an upstream "far" of "notes" in "south-1"
    And the route "/notes/" to "notes"
    And "near" is <near>
    And "far" is <far>
    And a gateway
    When "north-1" is evacuated
    And 0.1 seconds pass
    And 10 requests for "/notes/1" are sent at 20 a second
    Then nothing has reached "near"
    And the log has a line "evacuations_changed"

    Examples:
      | near | far      |
      | good | good     |
      | good | failing  |
      | good | shedding |
      | good | silent   |

  Scenario: a zone gets requests again after its evacuation
    Given an upstream "near" of "notes" in "north-1"
    And an upstream "far" of "notes" in "south-1"
    And the route "/notes/" to "notes"
    And a gateway
    When "north-1" is evacuated
    And 2 seconds pass
    And the evacuation of "north-1" ends
    And 0.1 seconds pass
    And a caller sends GET "/notes/1"
    Then only "near" ran it

  Scenario: with all zones evacuated requests are refused at once
    Given an upstream "near" of "notes" in "north-1"
    And an upstream "far" of "notes" in "south-1"
    And the route "/notes/" to "notes"
    And a gateway
    When "north-1" is evacuated
    And "south-1" is evacuated
    And 0.1 seconds pass
    And a caller sends GET "/notes/1"
    Then the reply is 503
    And the reply has a Retry-After of less than 1 second
    And it took less than 0.05 seconds
    And no upstream ran anything

  Scenario: the evacuation of an unknown zone has no effect
    Given an upstream "near" of "notes" in "north-1"
    And the route "/notes/" to "notes"
    And a gateway
    When "no-such-zone" is evacuated
    And 0.1 seconds pass
    And a caller sends GET "/notes/1"
    Then only "near" ran it
    And the log reports "no-such-zone" as unknown

  Scenario: requests that wait for a connection to an evacuated zone are sent elsewhere
    Given an upstream "near" of "notes" in "north-1"
    And an upstream "far" of "notes" in "south-1"
    And an upstream of "notes" accepts 1 connection
    And the route "/notes/" to "notes" with a timeout of 6 seconds that runs once
    And "near" is silent
    And a gateway
    When "north-1" is evacuated while 6 requests for "/notes/1" are in flight
    Then nothing reached "near" after the evacuation
    And "far" ran at least 1 of them

  Scenario: an evacuation holds during an outage of the source
    Given an upstream "near" of "notes" in "north-1"
    And an upstream "far" of "notes" in "south-1"
    And the route "/notes/" to "notes"
    And a gateway
    When "north-1" is evacuated
    And 0.5 seconds pass
    And the source is down
    And 20 seconds pass
    And a caller sends GET "/notes/1"
    Then only "far" ran it

  Scenario: an evacuation that is cancelled during an outage ends after it
    Given an upstream "near" of "notes" in "north-1"
    And an upstream "far" of "notes" in "south-1"
    And the route "/notes/" to "notes"
    And a gateway
    When "north-1" is evacuated
    And 0.5 seconds pass
    And the source is down
    And 5 seconds pass
    And the evacuation of "north-1" ends
    And the source is back
    And 3 seconds pass
    And a caller sends GET "/notes/1"
    Then only "near" ran it

  Scenario: all hosts stop sending to an evacuated zone at once
    Given 3 gateways in "north-1" and 3 in "south-1" with an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    When 10 seconds pass
    And "north-1" is evacuated
    And 0.2 seconds pass
    Then every gateway sends "/notes/1" to "u2"
    When the evacuation of "north-1" ends
    And "south-1" is evacuated
    And 0.2 seconds pass
    Then every gateway sends "/notes/1" to "u1"

  Scenario Outline: hosts that cannot use the source get evacuations from others: <how>
    Given 3 gateways in "north-1" and 3 in "south-1" with an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    When 10 seconds pass
    And the source is <how> for the gateway that reads it and 2 more
    And 1 second passes
    And "north-1" is evacuated
    And 2.8 seconds pass
    Then every gateway sends "/notes/1" to "u2"

    Examples:
      | how     |
      | refused |
      | silent  |

  Scenario: a host that starts during an outage applies the evacuations within 3 seconds
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    When 10 seconds pass
    And "north-1" is evacuated
    And 1 second passes
    And the source refuses all gateways and a seventh gateway starts with 2 reachable seeds
    And 3 seconds pass
    Then every gateway sends "/notes/1" to "u2"

  Scenario: an upstream that restarts under its id is a new incarnation
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When "u1" restarts at another address
    And 1.5 seconds pass
    And a caller sends GET "/notes/1"
    Then the reply is 200
    And only "u1" ran it

  Scenario: an upstream that drained and restarted gets requests
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When "u1" says that it drains
    And 1.5 seconds pass
    And "u1" restarts at another address
    And 1.5 seconds pass
    And a caller sends GET "/notes/1"
    Then the reply is 200

  Scenario: an entry that is older than the draining one does not make its upstream ready again
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When "u1" drains with sequence 9
    And 1.5 seconds pass
    And "u1" is ready with sequence 8
    And 1.5 seconds pass
    And 6 requests for "/notes/1" are sent at 20 a second
    Then "u1" ran 0 of them and "u2" 6

  Scenario: an entry that is older than an upstream's last one does not register it again after it has left
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When "u1" drains with sequence 9
    And 1.5 seconds pass
    And the entry of "u1" lapses
    And 1.5 seconds pass
    And "u1" is ready with sequence 8
    And 1.5 seconds pass
    And 6 requests for "/notes/1" are sent at 20 a second
    Then "u1" ran 0 of them and "u2" 6

  Scenario Outline: all hosts together send a cold upstream no more requests than it accepts: <hosts> hosts
    Given <hosts> gateways in one zone with an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    And a cold upstream of "notes" warms up in 3 seconds and accepts 4 requests a second
    When 10 seconds pass
    And "u1" becomes cold for 3 seconds
    And 1.5 seconds pass
    And every gateway is sent 10 requests a second for "/notes/1" for 3 seconds
    Then "u1" got at most 4 requests in any second of the first 1.4 seconds
    And "u1" got at least 1 request in the first 1.4 seconds
    And "u1" got most requests of the last 0.5 seconds
    And every answer was 200

    Examples:
      | hosts |
      | 2     |
      | 12    |

  Scenario: upstreams of a zone are cold after its evacuation
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    And a cold upstream of "notes" warms up in 3 seconds and accepts 4 requests a second
    When 10 seconds pass
    And "north-1" is evacuated
    And 2 seconds pass
    And the evacuation of "north-1" ends
    And 0.2 seconds pass
    And every gateway is sent 10 requests a second for "/notes/1" for 2 seconds
    Then "u1" got at most 4 requests in any second of the first 2 seconds
    And every answer was 200

  # A rate of 0 requests a second sets no limit.
  Scenario: without a configured rate cold upstreams get requests as others do
    Given 2 gateways in one zone with an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    And a cold upstream of "notes" warms up in 3 seconds and accepts 0 requests a second
    When 10 seconds pass
    And "u1" becomes cold for 3 seconds
    And 1.5 seconds pass
    And every gateway is sent 10 requests a second for "/notes/1" for 1 second
    Then "u1" got at least 20 requests in the first 1.0 seconds

  Scenario: the merge of readings does not depend on their order
    Then 300 random sequences of entries, applied in any order and with repeats, give the same upstreams
    And 300 random sequences of snapshots of evacuations, applied in any order and with repeats, give the same zones
