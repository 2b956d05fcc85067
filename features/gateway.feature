Feature: A gateway forwards every request truthfully

  Scenario: method, path, query, headers and body reach the upstream unchanged
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes" that runs once
    And a gateway
    When a caller sends POST "/notes/a%20b?x=1&y=2" with the body "parcel" and the header "X-Color: blue"
    Then the reply is 200
    And "u1" ran it as POST "/notes/a%20b?x=1&y=2" with the body "parcel"
    And "u1" was sent the header "x-color" as "blue"
    And "u1" was named as the only one that may run it

  Scenario: headers of one connection are not passed on
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When a caller sends GET "/notes/1" with the header "Connection: x-own, keep-alive" and the header "X-Own: 1"
    Then the reply is 200
    And "u1" was not sent the header "x-own"
    And "u1" was not sent the header "connection"

  Scenario: a body in chunks reaches the upstream whole
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes" that runs once
    And a gateway
    When a caller sends POST "/notes/1" in the chunks "par" and "cel"
    Then the reply is 200
    And "u1" ran it as POST "/notes/1" with the body "parcel"

  Scenario: the longest prefix of the host's routes is taken
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "scans"
    And the route "/a/" to "notes"
    And the route "/a/b/" to "scans"
    And a gateway
    When a caller sends GET "/a/b/c"
    Then the reply is 200
    And "u2" ran it and nobody else
    When a caller sends GET "/a/bc"
    Then "u1" ran it and nobody else
    When a caller sends GET "/other"
    Then the reply is 404
    When a caller sends GET "/a/1" to the host "other.example"
    Then the reply is 404

  Scenario: a gateway that knows no routes yet says when to come back
    Given an upstream "u1" of "notes"
    And a gateway
    When a caller sends GET "/notes/1"
    Then the reply is 503
    And it says when to come back
    And the gateway is not ready

  Scenario: the weights of a split are kept
    Given an upstream "u1" of "left"
    And an upstream "u2" of "right"
    And the route "/s/" split 3 to 1 over "left" and "right"
    And a gateway
    When 80 requests for "/s/1" are sent at 20 a second
    Then "u1" ran 60 of them and "u2" 20

  Scenario: a full part of a split is not given to another part
    Given an upstream "u1" of "left"
    And an upstream "u2" of "right"
    And the route "/s/" split 1 to 1 over "left" and "right"
    And "u1" is shedding
    And a gateway
    When 40 requests for "/s/1" are sent at 20 a second
    Then "u1" ran 0 of them and "u2" 20

  Scenario: an older table never replaces a newer one
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "scans"
    And the route "/a/" to "notes"
    And a gateway
    When the route "/a/" is moved to "scans"
    And 1 second passes
    And the source shows the version before again
    And 15 seconds pass
    And a caller sends GET "/a/1"
    Then "u2" ran it and nobody else

  Scenario: a new table is in force at once
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "scans"
    And the route "/a/" to "notes"
    And a gateway
    When the route "/a/" is moved to "scans"
    And 0.1 seconds pass
    And a caller sends GET "/a/1"
    Then "u2" ran it and nobody else

  Scenario: a table that a deaf watch misses is in force once the history is gone
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "scans"
    And the route "/a/" to "notes"
    And a gateway
    When the source's watches hear nothing
    And the route "/a/" is moved to "scans"
    And 1 second passes
    And the source drops its history and cuts its watches
    And 0.5 seconds pass
    And a caller sends GET "/a/1"
    Then "u2" ran it and nobody else

  Scenario: the table is read once when the history is gone
    Given an upstream "u1" of "notes"
    And the route "/a/" to "notes"
    And a gateway
    When the source drops its history and cuts its watches
    And 3 seconds pass
    Then the table was read 2 times

  Scenario: a table written while the source is away is in force after its return
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "scans"
    And the route "/a/" to "notes"
    And a gateway
    When the source is down
    And 3 seconds pass
    And the route "/a/" is moved to "scans"
    And the source is back
    And 1 second passes
    And a caller sends GET "/a/1"
    Then "u2" ran it and nobody else

  Scenario: an answer that names another request is never passed on
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And "u1" answers every request twice, the second late
    And a gateway
    When 40 requests for "/notes/1" are sent at 100 a second
    Then every reply is 200 and signed for its own request

  Scenario Outline: what is not a whole answer is not passed on: <fault>
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And "u1" is <fault>
    And a gateway
    When a caller sends GET "/notes/1"
    Then the reply is 502

    Examples:
      | fault        |
      | truncating   |
      | spoiling     |
      | encoding     |
      | unsigned     |
      | resetting    |

  Scenario: an answer without a length that is reset on the way is lost
    When a connection brings an answer without a length and is reset
    Then its request is lost and may have run

  Scenario: an answer without a length ends with its connection
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And "u1" is unframed
    And a gateway
    When a caller sends GET "/notes/1"
    Then the reply is 200
    And its body is whole

  Scenario Outline: an idempotent request is sent again after a failure: <fault>
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    And the route "/notes/" to "notes"
    And "u1" is <fault>
    And a gateway
    When a caller sends GET "/notes/1"
    Then the reply is 200
    And "u2" finished it

    Examples:
      | fault       |
      | failing     |
      | resetting   |
      | truncating  |
      | spoiling    |
      | shedding    |
      | misdirected |
      | silent      |

  Scenario Outline: a request that may run once is not sent again: <fault>
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    And the route "/notes/" to "notes" that runs once
    And "u1" is <fault>
    And a gateway
    When a caller sends POST "/notes/1" with the body "parcel"
    Then the reply is <status>
    And it ran 1 time

    Examples:
      | fault      | status |
      | failing    | 500    |
      | resetting  | 502    |
      | truncating | 502    |
      | silent     | 504    |

  Scenario Outline: a rejection lets a request that may run once go elsewhere: <fault>
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    And the route "/notes/" to "notes" that runs once
    And "u1" is <fault>
    And a gateway
    When a caller sends POST "/notes/1" with the body "parcel"
    Then the reply is 200
    And it ran 1 time

    Examples:
      | fault       |
      | shedding    |
      | misdirected |

  Scenario: a refusal that promises not to have run is true and quick
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    And the route "/notes/" to "notes" that runs once
    And "u1" is shedding
    And "u2" is shedding
    And a gateway
    When a caller sends POST "/notes/1" with the body "parcel"
    Then the reply is 503
    And it says when to come back
    And it ran 0 times
    And it took less than 0.2 seconds

  Scenario: a request that nobody can take is refused at once
    Given the route "/notes/" to "notes"
    And a gateway
    When a caller sends GET "/notes/1"
    Then the reply is 503
    And it says when to come back
    And it took less than 0.01 seconds

  Scenario: a reset on a kept connection costs no second run
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes" that runs once
    And a gateway
    When a caller sends POST "/notes/1" with the body "parcel"
    And "u1" is restarted
    And 5 seconds pass
    And a caller sends POST "/notes/2" with the body "parcel"
    Then the reply is 200
    And it ran 1 time

  Scenario: an address that was given to another upstream runs nothing
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    And the route "/notes/" to "notes" that runs once
    And a gateway
    When the address of "u1" is taken over by "x1" of "scans"
    And a caller sends POST "/notes/1" with the body "parcel"
    Then the reply is 200
    And "u2" ran it and nobody else

  Scenario: an address that was given to another upstream is left alone
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    And the route "/notes/" to "notes"
    And a gateway
    When the address of "u1" is taken over by "x1" of "scans"
    And 100 requests for "/notes/1" are sent at 25 a second
    Then every reply is 200
    And 1 request has reached the address of "u1" since

  Scenario: the only upstream's address was given to another
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When the address of "u1" is taken over by "x1" of "scans"
    And 100 requests for "/notes/1" are sent at 25 a second
    Then 1 request has reached the address of "u1" since

  Scenario: a caller that leaves stops the work done for it
    Given an upstream "u1" of "notes" that works for 5 seconds
    And the route "/notes/" to "notes" with a timeout of 10 seconds
    And a gateway
    When a caller sends GET "/notes/1" with 9 seconds and leaves after 0.2 seconds
    And 0.5 seconds pass
    Then "u1" is at work for nobody

  Scenario: a caller that leaves stops the work at every shard
    Given 5 shards that work for 5 seconds
    And the route "/all/" to all shards with a timeout of 10 seconds
    And a gateway
    When a caller sends GET "/all/1" with 9 seconds and leaves after 0.2 seconds
    And 0.5 seconds pass
    Then no shard is at work for anybody

  Scenario: upstreams are told how much time is left
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes" with a timeout of 0.6 seconds
    And a gateway
    When a caller sends GET "/notes/1" with 5 seconds
    Then "u1" was told at most 600 ms

  Scenario: a route's timeout ends a request
    Given an upstream "u1" of "notes" that works for 5 seconds
    And the route "/notes/" to "notes" with a timeout of 0.6 seconds
    And a gateway
    When a caller sends GET "/notes/1" with 5 seconds
    Then the reply is 504
    And it took less than 0.61 seconds
    And it took more than 0.5 seconds

  Scenario: a caller's deadline ends a request
    Given an upstream "u1" of "notes" that works for 5 seconds
    And the route "/notes/" to "notes" with a timeout of 10 seconds
    And a gateway
    When a caller sends GET "/notes/1" with 0.4 seconds
    Then the reply is 504
    And it took less than 0.41 seconds

  Scenario: the greatest records of all shards are merged
    Given shards with the records "b", "ab", "bc" and "a"
    And the route "/all/" to all shards for the greatest 4
    And a gateway
    When a caller sends GET "/all/1"
    Then the reply is 200
    And its records are "cbbb"
    And 0 shards are missing and 4 are signed

  Scenario: a remainder shorter than a record counts for nothing
    Given shards with the records "b", "a" and "c"
    And a shard that sends half a record
    And the route "/all/" to all shards for the greatest 9
    And a gateway
    When a caller sends GET "/all/1"
    Then its records are "cba"

  Scenario: coverage is true when a shard fails
    Given 10 shards
    And the route "/all/" to all shards, at least 0.9 of them
    And every upstream of shard 3 is failing
    And a gateway
    When a caller sends GET "/all/1"
    Then the reply is 200
    And 1 shards are missing and 9 are signed

  Scenario: the line of a query names the shards that are missing, and why
    Given 10 shards of 2 replicas
    And the route "/all/" to all shards, at least 0.9 of them
    And every upstream of shard 3 is failing
    And a gateway
    When a caller sends GET "/all/1"
    Then the line of the last request says "shard-3: failure: status 500"
    And the line of the last request has 1 extras and 0 denied

  Scenario: the line of a late query names what was missing at its goal
    Given 10 shards
    And the route "/all/" to all shards, at least 0.9 of them
    And every upstream of shard 3 is silent
    And every upstream of shard 4 is silent
    And a gateway
    When a caller sends GET "/all/1"
    Then the line of the last request waited for "shard-3: shard-3-0 182 ms; shard-4: shard-4-0 182 ms"

  Scenario: too little coverage is a failure, at once
    Given 10 shards
    And the route "/all/" to all shards, at least 0.9 of them
    And every upstream of shard 3 is failing
    And every upstream of shard 4 is failing
    And a gateway
    When a caller sends GET "/all/1"
    Then the reply is 502
    And it took less than 0.2 seconds

  Scenario: nothing is sent when too few shards have upstreams
    Given 10 shards
    And the route "/all/" to all shards, at least 0.9 of them
    And a gateway
    When the entry of "shard-3-0" lapses
    And the entry of "shard-8-0" lapses
    And 1.6 seconds pass
    And a caller sends GET "/all/1"
    Then the reply is 503
    And it says when to come back
    And it took less than 0.01 seconds
    And no upstream ran anything

  Scenario: a query is sent while enough shards have upstreams
    Given 10 shards
    And the route "/all/" to all shards, at least 0.9 of them
    And a gateway
    When the entry of "shard-3-0" lapses
    And 1.6 seconds pass
    And a caller sends GET "/all/1"
    Then the reply is 200
    And 1 shards are missing and 9 are signed

  Scenario: coverage of exactly the least is enough
    Given 20 shards
    And the route "/all/" to all shards, at least 0.85 of them
    And every upstream of shard 3 is failing
    And every upstream of shard 4 is failing
    And every upstream of shard 5 is failing
    And a gateway
    When a caller sends GET "/all/1"
    Then the reply is 200
    And 3 shards are missing and 17 are signed

  Scenario: enough coverage is not held back beyond the goal
    Given 10 shards
    And the route "/all/" to all shards, at least 0.9 of them
    And every upstream of shard 3 is silent
    And a gateway
    When a caller sends GET "/all/1"
    Then the reply is 200
    And it took less than 0.2 seconds
    And 1 shards are missing and 9 are signed

  Scenario: a paused replica is hedged
    Given 10 shards of 2 replicas
    And the route "/all/" to all shards, at least 0.9 of them
    And the near upstream of shard 3 is silent
    And a gateway
    When a caller sends GET "/all/1"
    Then the reply is 200
    And 0 shards are missing and 10 are signed
    And it took less than 0.2 seconds

  Scenario: each late shard of a wide query is hedged, also into another region
    Given 70 shards of 2 replicas
    And the route "/all/" to all shards, at least 0.9 of them
    And the near upstream of shard 3 is silent
    And a gateway
    When a caller sends GET "/all/1"
    Then the reply is 200
    And 0 shards are missing and 70 are signed
    And it took less than 0.2 seconds

  Scenario: the next request passes over a replica that is paused
    Given 10 shards of 2 replicas
    And the route "/all/" to all shards, at least 0.9 of them
    And the near upstream of shard 3 is silent
    And a gateway
    When a caller sends GET "/all/1"
    And a caller sends GET "/all/2"
    Then it took less than 0.04 seconds

  Scenario: extra requests stay within the budget when everything is slow
    Given 4 shards of 2 replicas
    And the route "/all/" to all shards, at least 0.5 of them
    And every upstream is silent
    And a gateway with a slack of 10
    When 300 requests for "/all/1" are sent at 30 a second
    Then no service got more than 0.2 extra arrivals a request and 10 in any 10 seconds

  Scenario: extra requests stay within the budget when one shard is slow
    Given 4 shards of 2 replicas
    And the route "/all/" to all shards, at least 0.5 of them
    And every upstream of shard 2 is silent
    And a gateway with a slack of 10
    When 300 requests for "/all/1" are sent at 30 a second
    Then no service got more than 0.2 extra arrivals a request and 10 in any 10 seconds
    And some extra requests were sent

  Scenario: hedges are not sent for a cause that all shards share
    Given 10 shards of 2 replicas that work for 0.1 seconds
    And the route "/all/" to all shards
    And a gateway
    When 20 requests for "/all/1" are sent at 5 a second
    Then every reply is 200
    And no shard got an extra request

  Scenario: extra requests stay within the budget when everything sheds
    Given 4 shards of 2 replicas
    And the route "/all/" to all shards, at least 0.5 of them
    And every upstream is shedding
    And a gateway with a slack of 10
    When 300 requests for "/all/1" are sent at 30 a second
    Then no service got more than 0.2 extra arrivals a request and 10 in any 10 seconds
    And some extra requests were sent

  Scenario: no request is sent to more upstreams than its route allows
    Given 2 shards of 4 replicas
    And the route "/all/" to all shards, at least 0.5 of them
    And every upstream is resetting
    And a gateway
    When 20 requests for "/all/1" are sent at 10 a second
    Then no request ran at more than 2 upstreams of a shard

  Scenario: under three times the load that shards can do, answers stay in time
    Given 6 shards with 2 slots that work for 0.04 seconds
    And the route "/urgent/" to all shards with priority 1
    And the route "/other/" to all shards with priority 3
    And a gateway
    When both are asked for 10 seconds, together 3 times what the shards can do
    Then the answers in time are 0.8 or more of what the shards can do
    And the urgent ones are answered more often than the others
    And what was refused has not run and was told at once when to come back

  Scenario: refusing is given up where it doesn't help
    Given 6 shards that work for 0.3 seconds
    And the route "/all/" to all shards
    And a gateway
    When 600 requests for "/all/1" are sent at 20 a second
    Then over 0.7 of the replies are 200

  Scenario: slow shards alone make no host refuse
    Given 10 shards of 2 replicas
    And the route "/all/" to all shards, at least 0.5 of them
    And every upstream of shard 3 is silent
    And every upstream of shard 4 is silent
    And a gateway with a slack of 10
    When 300 requests for "/all/1" are sent at 30 a second
    Then every reply is 200

  Scenario: an answer is of one version while the shards are changed
    Given 4 shards that work for 0.15 seconds
    And the route "/all/" to all shards, at least 0.5 of them
    And a gateway
    When requests for "/all/1" are sent at 50 a second for 4 seconds while 6 new shards take over
    Then every reply is 200
    And every reply names 4 old shards or 6 new shards and never both

  Scenario: an upstream never has more connections than it accepts
    Given 1 shard that accepts 4 connections
    And the route "/all/" to all shards
    And a gateway
    When 400 requests for "/all/1" are sent at 1000 a second
    Then the shard never had more than 4 connections

  Scenario: an upstream that drains gets no new work
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    And the route "/notes/" to "notes"
    And a gateway
    When "u1" says that it drains
    And 1.6 seconds pass
    And 20 requests for "/notes/1" are sent at 20 a second
    Then "u1" ran 0 of them and "u2" 20

  Scenario: what runs at an upstream when it drains is not cut
    Given an upstream "u1" of "notes" that works for 3 seconds
    And the route "/notes/" to "notes" with a timeout of 10 seconds that runs once
    And a gateway
    When "u1" drains and its entry goes while it works on a request
    Then the reply is 200

  Scenario: entries that lapse during an outage are kept until they are back
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When the source is down
    And 5 seconds pass
    And the entry of "u1" lapses
    And the source is back
    And 1.5 seconds pass
    And a caller sends GET "/notes/1"
    Then the reply is 200
    When 5 seconds pass
    And a caller sends GET "/notes/1"
    Then the reply is 503

  Scenario: an entry that lapses with no outage is gone at once
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When the entry of "u1" lapses
    And 1.6 seconds pass
    And a caller sends GET "/notes/1"
    Then the reply is 503

  Scenario: a planned stop cuts nothing, and callers that stay are served
    Given an upstream "u1" of "notes" that works for 0.1 seconds
    And the route "/notes/" to "notes"
    And a gateway
    When it is stopped while callers on open connections send on
    Then no request was cut
    And the gateway has ended within 6 seconds

  Scenario: a gateway that stops says so to the balancer at once
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    Then the gateway is ready
    When it is told to stop
    Then the gateway is not ready
    When a caller sends GET "/notes/1"
    Then the reply is 200
    And it says that the connection ends

  Scenario: a long request that came before the stop is answered
    Given an upstream "u1" of "notes" that works for 4 seconds
    And the route "/notes/" to "notes" with a timeout of 10 seconds that runs once
    And a gateway
    When it is told to stop while it works on a POST "/notes/1"
    Then the reply is 200
    And the gateway has ended within 6 seconds

  Scenario Outline: what a caller may send is bounded: <what>
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes" that runs once
    And callers may send 200 bytes of head and 100 of body, the head within 1 second
    And a gateway
    When a caller sends <what>
    Then the reply is <status>
    And no upstream ran anything

    Examples:
      | what             | status |
      | a long head      | 431    |
      | a long body      | 413    |
      | a head too slow  | 408    |
      | what is not HTTP | 400    |

  Scenario Outline: a request whose length is in doubt reaches no upstream: <what>
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes" that runs once
    And a gateway
    When a caller sends a request with <what>
    Then the reply is 400
    And no upstream ran anything

    Examples:
      | what                 |
      | two lengths          |
      | a length and chunks  |
      | a length that is odd |

  Scenario: a request without an id is refused
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When a caller sends a request without an id
    Then the reply is 400
    And no upstream ran anything

  Scenario: requests sent ahead on one connection are answered in order
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When a caller sends 3 requests for "/notes/1" ahead
    Then it gets 3 replies, each to its own request in order

  Scenario: a connection with unsent bytes of a body is not used again
    When a connection brings an answer while bytes of its request wait
    Then its answer is taken and the connection is closed

  Scenario: an early answer leaves no bytes of the body behind
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes" that runs once
    And "u1" is early
    And a gateway
    When a caller sends POST "/notes/1" with the body "parcel"
    Then the reply is 400
    When "u1" is good
    And a caller sends POST "/notes/2" with the body "second"
    Then the reply is 200
    And "u1" ran it as POST "/notes/2" with the body "second"

  Scenario: every request that fails leaves a line with its id and reason
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And "u1" is resetting
    And a gateway
    When a caller sends GET "/notes/1"
    Then the log has a line of it with the outcome "lost" and a reason

  Scenario: a caller that leaves is in the log too
    Given an upstream "u1" of "notes" that works for 5 seconds
    And the route "/notes/" to "notes"
    And a gateway
    When a caller sends GET "/notes/1" with 1 second and leaves after 0.2 seconds
    And 0.1 seconds pass
    Then the log has a line of it with the outcome "caller_left" and a reason

  Scenario: the log is bounded and says what it left out
    Given the route "/notes/" to "notes"
    And a gateway
    When 900 requests for "/notes/1" are sent at 450 a second
    And 3 seconds pass
    And a caller sends GET "/notes/1"
    Then the log has at most 500 lines on requests
    And it says how many were left out

  Scenario: losing the source and getting it back are in the log
    Given a gateway
    When the source is down
    And 2 seconds pass
    And the source is back
    And 2 seconds pass
    Then the log has a line "dependency_lost"
    And the log has a line "dependency_back"

  Scenario: every line of the log is as docs/events.md says
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When a caller sends GET "/notes/1"
    And the source is down
    And 2 seconds pass
    And the source is back
    And 2 seconds pass
    And it is told to stop
    Then every line of the log has the fields that its kind has
    And docs/events.md is what the definitions make

  Scenario: a reader of the log that stops reading delays nothing
    When 5000 lines are logged to a pipe that nobody reads
    Then none of them blocked and the rest were counted as dropped
    When the pipe is read again
    Then what was kept comes whole and in order

  Scenario: a defect in following the source is logged, and following goes on
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When the source breaks its contract once
    And 5 seconds pass
    And the route "/notes/" is moved to "scans"
    And 3 seconds pass
    Then the newest table is in force
    And the log tells of a defect

  Scenario: a caller that doesn't read costs little memory
    Given an upstream "u1" of "notes" that answers with 400000 bytes
    And the route "/notes/" to "notes" with a timeout of 10 seconds
    And a gateway
    When a caller sends 12 requests for "/notes/1" ahead and reads nothing for 3 seconds
    Then "u1" ran no more than 3 requests
    When the caller reads what it was sent
    Then it got 12 whole answers

  Scenario: a caller that reads nothing for as long as it may be idle is cut
    Given an upstream "u1" of "notes" that answers with 400000 bytes
    And the route "/notes/" to "notes"
    And a gateway
    When a caller sends 12 requests for "/notes/1" ahead and reads nothing for 20 seconds
    Then the gateway has no connection of a caller

  Scenario: connections that have all fallen silent cost one request
    Given an upstream "u1" of "notes" that works for 0.1 seconds
    And the route "/notes/" to "notes"
    And a gateway
    When 4 requests for "/notes/1" are sent at 40 a second
    And the open connections of "u1" fall silent
    And 3 callers in turn send GET "/notes/1"
    Then 2 of the last 3 replies are 200

  Scenario: the line of a request that timed out names the upstream that had it
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And "u1" is silent
    And a gateway
    When a caller sends GET "/notes/1"
    Then the reply is 504
    And the line of the last request says "no answer in time from u1"

  Scenario: an answer to HEAD states no length that is not the upstream's
    Given an upstream "u1" of "notes" that answers with 400000 bytes
    And the route "/notes/" to "notes"
    And a gateway
    When a caller sends HEAD "/notes/1"
    Then the reply is 200
    And it states no length
