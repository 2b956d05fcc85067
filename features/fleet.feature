Feature: Hosts learn the same, whoever can reach the source

  Scenario: one host of a zone reads for all
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    When 20 seconds pass
    Then all gateways are ready
    And all but 1 of them leave the source alone
    And all of them count 6 hosts

  Scenario: one host reads for all zones
    Given 3 gateways in "north-1" and 3 in "south-1" with an upstream "u1" of "notes"
    When 20 seconds pass
    Then all gateways are ready
    And all but 1 of them leave the source alone

  Scenario: a table reaches all hosts of all zones at once
    Given 3 gateways in "north-1" and 3 in "south-1" with an upstream "u1" of "notes"
    And an upstream "u2" of "scans"
    When 10 seconds pass
    And the route "/notes/" is moved to "scans"
    And 0.2 seconds pass
    Then every gateway sends "/notes/1" to "u2"

  Scenario: the host that reads for all zones stops
    Given 3 gateways in "north-1" and 3 in "south-1" with an upstream "u1" of "notes"
    And an upstream "u2" of "scans"
    When 10 seconds pass
    And the gateway that reads is killed
    And the route "/notes/" is moved to "scans"
    And 2.5 seconds pass
    Then every gateway sends "/notes/1" to "u2"

  Scenario: the host that reads for all zones freezes
    Given 3 gateways in "north-1" and 3 in "south-1" with an upstream "u1" of "notes"
    And an upstream "u2" of "scans"
    When 10 seconds pass
    And the gateway that reads goes silent to its peers and the source
    And the route "/notes/" is moved to "scans"
    And 2.8 seconds pass
    Then every other gateway sends "/notes/1" to "u2"

  Scenario Outline: an upstream leaves while the source turns the reader of all zones away: <how>
    Given 3 gateways in "north-1" and 3 in "south-1" with an upstream "u1" of "notes"
    And an upstream "u2" of "notes"
    When 10 seconds pass
    And the source is <how> for the gateway that reads and 2 more
    And "u1" says that it drains
    And 2.8 seconds pass
    Then every gateway sends "/notes/1" to "u2"

    Examples:
      | how     |
      | refused |
      | silent  |

  Scenario: hosts of two zones that ask one another in a circle notice that they are stale
    Given 3 gateways in "north-1" and 3 in "south-1" with an upstream "u1" of "notes"
    And an upstream "u2" of "scans"
    When 10 seconds pass
    And the source is silent for all gateways
    And 9 seconds pass
    And the source is open for all gateways
    And 0.3 seconds pass
    And the route "/notes/" is moved to "scans"
    And 3 seconds pass
    Then every gateway sends "/notes/1" to "u2"

  Scenario: a table reaches all hosts at once
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    And an upstream "u2" of "scans"
    When 10 seconds pass
    And the route "/notes/" is moved to "scans"
    And 0.2 seconds pass
    Then every gateway sends "/notes/1" to "u2"

  Scenario: the host that reads stops
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    And an upstream "u2" of "scans"
    When 10 seconds pass
    And the gateway that reads is killed
    And the route "/notes/" is moved to "scans"
    And 2.5 seconds pass
    Then every gateway sends "/notes/1" to "u2"

  Scenario: the host that reads freezes
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    And an upstream "u2" of "scans"
    When 10 seconds pass
    And the gateway that reads goes silent to its peers and the source
    And the route "/notes/" is moved to "scans"
    And 2.8 seconds pass
    Then every other gateway sends "/notes/1" to "u2"

  Scenario Outline: hosts that the source turns away learn from others: <how>
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    And an upstream "u2" of "scans"
    When 10 seconds pass
    And the source is <how> for the gateway that reads and 2 more
    And 5 seconds pass
    And the route "/notes/" is moved to "scans"
    And 2.5 seconds pass
    Then every gateway sends "/notes/1" to "u2"

    Examples:
      | how     |
      | refused |
      | silent  |

  Scenario Outline: a leaving upstream gets no new work while the source turns hosts away: <how>
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    And an upstream "u2" of "notes"
    When 10 seconds pass
    And the source is <how> for the gateway that reads and 2 more
    And 5 seconds pass
    And "u1" says that it drains
    And 2.8 seconds pass
    Then every gateway sends "/notes/1" to "u2"

    Examples:
      | how     |
      | refused |
      | silent  |

  Scenario: hosts that ask one another in a circle notice that they are stale
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    And an upstream "u2" of "scans"
    When 10 seconds pass
    And the source is silent for all gateways
    And 9 seconds pass
    And the source is open for all gateways
    And 0.3 seconds pass
    And the route "/notes/" is moved to "scans"
    And 3 seconds pass
    Then every gateway sends "/notes/1" to "u2"

  Scenario: the age of a reading that goes round a circle of hosts grows
    Given a directory that took over reading 7 of "p1", 1.5 seconds old
    When the same reading comes back as 0.1 seconds old
    Then the directory's reading is 1.5 seconds old
    When reading 8 of "p1" comes, 0.1 seconds old
    Then the directory's reading is 0.1 seconds old

  Scenario: all hosts lose the source, and serve on
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    When 10 seconds pass
    And the source is silent for all gateways
    And 20 seconds pass
    Then every gateway sends "/notes/1" to "u1"

  Scenario: entries that lapsed while the source was away are kept by all hosts
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    When 10 seconds pass
    And the source is refused for all gateways
    And the entry of "u1" lapses
    And 6 seconds pass
    And the source is open for all gateways
    And 1.8 seconds pass
    Then every gateway sends "/notes/1" to "u1"
    When 6 seconds pass
    Then no gateway knows an upstream of "/notes/1"

  Scenario: what left while the source turned one host away is not kept
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    And an upstream "u2" of "notes"
    When 10 seconds pass
    And the source is refused for the gateway that reads and 2 more
    And 6 seconds pass
    And the source is open for all gateways
    And the entry of "u1" lapses
    And 1.6 seconds pass
    Then every gateway sends "/notes/1" to "u2"

  Scenario: a host that the source answers is not left to what others pass on
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    And an upstream "u2" of "notes"
    When 10 seconds pass
    And the source is silent for the gateway that reads and 2 more
    And "u1" says that it drains
    And 2.8 seconds pass
    Then every gateway sends "/notes/1" to "u2"

  Scenario Outline: the reader of a zone reads again once the source answers it: <how>
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    When 10 seconds pass
    And the source is <how> for the gateway that reads and 2 more
    And 8 seconds pass
    And the source is open for all gateways
    And 8 seconds pass
    Then all but 1 of them leave the source alone

    Examples:
      | how     |
      | refused |
      | silent  |

  Scenario: hosts that are not turned away need one reader among them
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    When 10 seconds pass
    And the source is silent for the gateway that reads and 2 more
    And 4 seconds pass
    Then at most 2 of those that are not turned away ask the source

  Scenario: a host that starts while the source is away learns from its seeds
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    When 10 seconds pass
    And the source is away for everybody and a seventh gateway starts that is told 2 others
    And 3 seconds pass
    Then the seventh gateway answers "/notes/1" with 200

  Scenario: a host that starts while the source is away and has no seeds says when to come back
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    When 10 seconds pass
    And the source is away for everybody and a seventh gateway starts that is told 0 others
    And 3 seconds pass
    Then the seventh gateway answers "/notes/1" with 503

  Scenario: a host that starts learns all from a seed and asks the source to register only
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    When 10 seconds pass
    And a seventh gateway starts that is told 2 others
    And 3 seconds pass
    Then the seventh gateway answers "/notes/1" with 200
    And all of them count 7 hosts
    And the seventh gateway has called the source 1 times

  Scenario: hosts that start together learn from the seeds among them
    Given 3 gateways and 21 that are told of them start together with an upstream "u1" of "notes"
    When 6 seconds pass
    Then all gateways are ready
    And all of them count 24 hosts
    And all of them together have called the source at most 90 times
    And all but 1 of them leave the source alone

  Scenario: hosts that are lost together and start again learn from the seeds among them
    Given 3 gateways and 45 that are told of them start together with an upstream "u1" of "notes"
    When 10 seconds pass
    And all gateways are killed and start again together
    And 6 seconds pass
    Then all gateways are ready
    And all of them count 48 hosts
    And all of them together have called the source at most 130 times
    And all but 1 of them leave the source alone

  Scenario: many hosts together try a source that is away no more often than few
    Given 3 gateways and 45 that are told of them start together with an upstream "u1" of "notes"
    And an upstream "u2" of "scans"
    When 10 seconds pass
    And the source is refused for all gateways and 20 seconds pass
    Then they have called it at most 600 times in that time
    When the source is open for all gateways
    And 1 second passes
    And the route "/notes/" is moved to "scans"
    And 1 second passes
    Then every gateway sends "/notes/1" to "u2"

  Scenario: a table is in force 2 seconds after an outage, whatever the order of events
    Given each call to the source takes one turn of the loop more
    And 3 gateways and 45 that are told of them start together with an upstream "u1" of "notes"
    And an upstream "u2" of "scans"
    When 10 seconds pass
    And the source is refused for all gateways and 20 seconds pass
    And the source is open for all gateways
    And 1 second passes
    And the route "/notes/" is moved to "scans"
    And 1 second passes
    Then every gateway sends "/notes/1" to "u2"

  Scenario: a host whose seeds are gone reads the source
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    When 10 seconds pass
    And a seventh gateway starts that is told 0 others
    And 1.6 seconds pass
    Then all gateways are ready

  Scenario: a caller that comes while a host looks for its seeds is served
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    When 10 seconds pass
    And a seventh gateway starts that is told 0 others
    And 0.01 seconds pass
    Then the seventh gateway answers "/notes/1" with 200
    And it took less than 0.1 seconds in all

  Scenario: a caller of a host that can learn from nobody is told at once, but for the first second
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    When 10 seconds pass
    And the source is away for everybody and a seventh gateway starts that is told 0 others
    And 0.01 seconds pass
    Then the seventh gateway answers "/notes/1" with 503
    And it took less than 0.51 seconds in all
    When 2 seconds pass
    Then the seventh gateway answers "/notes/1" with 503
    And it took less than 0.01 seconds in all

  Scenario: a reply that is kept for other peers tells its age
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    When 10 seconds pass
    And a new peer asks the gateway that reads for changes
    And 0.08 seconds pass
    And a new peer asks the gateway that reads for changes
    Then the second was told of a reading 0.08 seconds older

  Scenario: a host that starts later is counted by all
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    When 10 seconds pass
    And a seventh gateway starts
    And 3 seconds pass
    Then all of them count 7 hosts

  Scenario: a registration that is taken away is made again
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    When 10 seconds pass
    And the registry loses all hosts
    And 13 seconds pass
    Then the registry names 6 hosts
    And all of them count 6 hosts

  Scenario: a peer is told only of the hosts that have changed
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    When 10 seconds pass
    And a peer asks the gateway that reads for changes
    Then it is told of 6 hosts, and knows 6
    When a seventh gateway starts
    And 6 seconds pass
    And a peer asks the gateway that reads for changes
    Then it is told of 1 host, and knows 7

  Scenario: hosts that leave the registry still count for a while
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    When 10 seconds pass
    And the registry loses all hosts
    And 5 seconds pass
    Then all of them count 6 hosts

  Scenario: the slack of the budget is shared by all hosts
    Given 5 gateways in one zone with an upstream "u1" of "notes"
    When 10 seconds pass
    Then each may send 4 extra requests of a slack of 20

  Scenario Outline: connections are shared by nearness: <accepted> for <near> near and <far> far
    Given an upstream that accepts <accepted> connections in "north-1"
    And a sibling in "south-1"
    And <near> hosts in "north-1" and <far> in "south-1"
    Then a host in "north-1" may open <own>
    And a host in "south-1" may open <other>
    And all together stay below <accepted>

    Examples:
      | accepted | near | far | own | other |
      | 26       | 5    | 2   | 3   | 4     |
      | 100      | 3    | 4   | 8   | 8     |
      | 52       | 20   | 20  | 1   | 1     |

  Scenario: a long list of changes is sent compressed, and a spoilt one is refused
    Given changes with 400 upstreams
    Then they are sent in less than 12000 bytes and read back the same
    And what is left of them after 1000 bytes can't be read

  Scenario: a caller that comes while a host reads over a thin link is served
    Given 6 gateways in one zone with an upstream "u1" of "notes"
    When 10 seconds pass
    And a seventh gateway starts whose readings take 0.12 seconds each
    And 0.01 seconds pass
    Then the seventh gateway answers "/notes/1" with 200
    And it took less than 0.4 seconds in all
