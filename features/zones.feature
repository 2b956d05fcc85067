Feature: Requests stay in their regions, and evacuated zones and cold upstreams are spared

  Scenario Outline: a request goes only where its route allows it: near is <near>, far is <far>
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

  Scenario: a request that may be handled in its own region is answered there
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
    And it says when to come back
    And it took less than 0.05 seconds
    And nothing has reached "near"

    Examples:
      | region  |
      | south   |
      | nowhere |

  Scenario: a region that does not exist is named in the log, and the table holds
    Given an upstream "near" of "notes" in "north-1"
    And the route "/notes/" to "notes" within "nowhere"
    And the route "/other/" to "notes"
    And a gateway
    When a caller sends GET "/other/1"
    Then "near" ran it and nobody else
    And the log has a line "regions_unknown"

  Scenario: a query over shards stays in its regions
    Given 6 shards of 2 replicas
    And the route "/all/" to all shards within "south"
    And the near upstream of shard 3 is good
    And a gateway
    When a caller sends GET "/all/1"
    Then the reply is 200
    And 0 shards are missing and 6 are signed
    And nothing has reached an upstream of "north-1"

  Scenario: a route is narrowed while a request waits for its retry
    Given an upstream "near" of "notes" in "north-1"
    And an upstream "far" of "notes" in "south-1"
    And the route "/notes/" to "notes"
    And a gateway
    When the route "/notes/" is narrowed to "south"
    And 0.1 seconds pass
    And a caller sends GET "/notes/1"
    Then "far" ran it and nobody else

  Scenario: a host outside of a query's regions does not hand it over
    Given 6 gateways before 60 shards, of which 2 have a wide link
    And the route "/all/" is narrowed to "south" in the whole fleet
    When every gateway is asked for all shards
    Then no gateway was sent a query by another
    And nothing has reached an upstream of "north-1"

  Scenario: the parts of a query are asked only of hosts in its regions
    Given 3 gateways in each of two zones of a region before 60 shards, half in each
    And the route "/all/" is narrowed to "south" in the whole fleet
    When every gateway is asked for all shards
    Then no gateway was sent a query by another

  Scenario Outline: an evacuated zone gets nothing: near is <near>, far is <far>
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

  Scenario: a zone that is given back gets work again
    Given an upstream "near" of "notes" in "north-1"
    And an upstream "far" of "notes" in "south-1"
    And the route "/notes/" to "notes"
    And a gateway
    When "north-1" is evacuated
    And 2 seconds pass
    And "north-1" is given back
    And 0.1 seconds pass
    And a caller sends GET "/notes/1"
    Then "near" ran it and nobody else

  Scenario: with all zones evacuated nothing is sent, and callers are told at once
    Given an upstream "near" of "notes" in "north-1"
    And an upstream "far" of "notes" in "south-1"
    And the route "/notes/" to "notes"
    And a gateway
    When "north-1" is evacuated
    And "south-1" is evacuated
    And 0.1 seconds pass
    And a caller sends GET "/notes/1"
    Then the reply is 503
    And it says when to come back
    And it took less than 0.05 seconds
    And no upstream ran anything

  Scenario: a zone that does not exist moves nothing
    Given an upstream "near" of "notes" in "north-1"
    And the route "/notes/" to "notes"
    And a gateway
    When "no-such-zone" is evacuated
    And 0.1 seconds pass
    And a caller sends GET "/notes/1"
    Then "near" ran it and nobody else
    And the log names "no-such-zone" as unknown

  Scenario: what waits for a connection to an evacuated zone goes elsewhere
    Given an upstream "near" of "notes" in "north-1"
    And an upstream "far" of "notes" in "south-1"
    And an upstream of "notes" accepts 1 connection
    And the route "/notes/" to "notes" with a timeout of 6 seconds that runs once
    And "near" is silent
    And a gateway
    When "north-1" is evacuated while 6 requests for "/notes/1" are under way
    Then nothing reached "near" after the evacuation
    And "far" ran at least 1 of them

  Scenario: an evacuation outlasts an outage of the source
    Given an upstream "near" of "notes" in "north-1"
    And an upstream "far" of "notes" in "south-1"
    And the route "/notes/" to "notes"
    And a gateway
    When "north-1" is evacuated
    And 0.5 seconds pass
    And the source is down
    And 20 seconds pass
    And a caller sends GET "/notes/1"
    Then "far" ran it and nobody else

  Scenario: an evacuation that was taken back during an outage ends with it
    Given an upstream "near" of "notes" in "north-1"
    And an upstream "far" of "notes" in "south-1"
    And the route "/notes/" to "notes"
    And a gateway
    When "north-1" is evacuated
    And 0.5 seconds pass
    And the source is down
    And 5 seconds pass
    And "north-1" is given back
    And the source is back
    And 3 seconds pass
    And a caller sends GET "/notes/1"
    Then "near" ran it and nobody else

  Scenario: all hosts leave an evacuated zone at once
    Given 3 gateways in "north-1" and 3 in "south-1" with an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    When 10 seconds pass
    And "north-1" is evacuated
    And 0.2 seconds pass
    Then every gateway sends "/notes/1" to "u2"
    When "north-1" is given back
    And "south-1" is evacuated
    And 0.2 seconds pass
    Then every gateway sends "/notes/1" to "u1"

  Scenario Outline: hosts that the source turns away learn of an evacuation from others: <how>
    Given 3 gateways in "north-1" and 3 in "south-1" with an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    When 10 seconds pass
    And the source is <how> for the gateway that reads and 2 more
    And 1 second passes
    And "north-1" is evacuated
    And 2.8 seconds pass
    Then every gateway sends "/notes/1" to "u2"

    Examples:
      | how     |
      | refused |
      | silent  |

  Scenario: a host that starts while the source is away knows of an evacuation before it serves
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    When 10 seconds pass
    And "north-1" is evacuated
    And 1 second passes
    And the source is away for everybody and a seventh gateway starts that is told 2 others
    And 3 seconds pass
    Then every gateway sends "/notes/1" to "u2"

  Scenario: an upstream that starts again under its id is taken as a new one
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When "u1" starts again at another address
    And 1.5 seconds pass
    And a caller sends GET "/notes/1"
    Then the reply is 200
    And "u1" ran it and nobody else

  Scenario: an upstream that drained and starts again takes work
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When "u1" says that it drains
    And 1.5 seconds pass
    And "u1" starts again at another address
    And 1.5 seconds pass
    And a caller sends GET "/notes/1"
    Then the reply is 200

  Scenario: what an upstream said before it drained does not bring it back
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When "u1" drains as its sequence 9
    And 1.5 seconds pass
    And "u1" is ready as its sequence 8
    And 1.5 seconds pass
    And 6 requests for "/notes/1" are sent at 20 a second
    Then "u1" ran 0 of them and "u2" 6

  Scenario: an entry from before an upstream left does not bring it back
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When "u1" drains as its sequence 9
    And 1.5 seconds pass
    And the entry of "u1" lapses
    And 1.5 seconds pass
    And "u1" is ready as its sequence 8
    And 1.5 seconds pass
    And 6 requests for "/notes/1" are sent at 20 a second
    Then "u1" ran 0 of them and "u2" 6

  Scenario Outline: a cold upstream gets what it stands, from all hosts together: <hosts> hosts
    Given <hosts> gateways in one zone with an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    And an upstream of "notes" is cold for 3 seconds and stands 4 a second
    When 10 seconds pass
    And "u1" has become cold for 3 seconds
    And 1.5 seconds pass
    And every gateway is asked 10 times a second for "/notes/1" for 3 seconds
    Then "u1" got at most 4 requests in any second of the first 1.4
    And "u1" got at least 1 request in the first 1.4 seconds
    And "u1" got most requests of the last 0.5 seconds
    And every answer was 200

    Examples:
      | hosts |
      | 2     |
      | 12    |

  Scenario: a zone that is given back is taken to be cold
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    And an upstream of "notes" is cold for 3 seconds and stands 4 a second
    When 10 seconds pass
    And "north-1" is evacuated
    And 2 seconds pass
    And "north-1" is given back
    And 0.2 seconds pass
    And every gateway is asked 10 times a second for "/notes/1" for 2 seconds
    Then "u1" got at most 4 requests in any second of the first 2
    And every answer was 200

  Scenario: without a figure for cold upstreams they are sent to as others are
    Given 2 gateways in one zone with an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    And an upstream of "notes" is cold for 3 seconds and stands 0 a second
    When 10 seconds pass
    And "u1" has become cold for 3 seconds
    And 1.5 seconds pass
    And every gateway is asked 10 times a second for "/notes/1" for 1 second
    Then "u1" got at least 20 requests in the first 1.0 seconds

  Scenario: the merge of readings does not depend on their order
    Then 300 runs of entries, in any order and with repeats, end in the same upstreams
    And 300 runs of snapshots of evacuations, in any order and with repeats, end in the same zones
