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
    Then the 2 lines of "/all/lethal" have one digest and the first tells of 6 lost attempts at least
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

  # 40 while each shard's second upstream got the retry, 22 while two canaries
  # went to the last upstreams of two shards.
  Scenario: a query over 20 shards that nobody knows yet crashes one upstream of each
    Given 20 shards of 2 replicas
    And the route "/all/" to all shards
    And a request for "/all/lethal" crashes every upstream that runs it
    And a gateway
    When a caller sends GET "/all/lethal"
    Then the reply is 502
    And 20 upstreams have crashed
    When a caller sends GET "/all/lethal"
    Then the reply is 503
    And it says to come back in 6 seconds
    And the log has a line of it with the outcome "quarantined" and a reason
    And 20 upstreams have crashed
    When 6 seconds pass
    And a caller sends GET "/all/lethal"
    Then the reply is 502
    And 21 upstreams have crashed
    When a caller sends GET "/all/lethal"
    Then the reply is 503
    And it says to come back in 3600 seconds
    And the log has a line of it with the outcome "quarantined" and a reason
    And 21 upstreams have crashed

  # What users saw: of the wide queries that came in the three seconds after the
  # first such request two in three failed, though it had left each shard an
  # upstream. Order of events: its first copy ended one upstream of each of 20
  # shards; canaries, and hedges of parts of which nothing had been answered,
  # took the last upstream of two to five shards more, and with four of 20 shards
  # gone no query could be answered until they were back.
  # Cause: a canary went to the first shard that waited, whatever it had left;
  # no host knew which upstreams had ended until their registrations lapsed.
  # Evidence: 22 to 30 upstreams ended on nine days with such requests, 20 or 21
  # could have; 0 to 32 of 108 queries of the second after it in time.
  Scenario: a request that crashes upstreams leaves each shard one, over all hosts
    Given 2 gateways in each of two zones before 20 shards of 2 upstreams
    And a request for "/all/lethal" crashes every upstream that runs it
    When copies of "/all/lethal" come to all gateways in turn, 4 a second for 20 seconds, beside 20 other queries a second
    Then no shard was without an upstream at any time
    And at most 22 upstreams have crashed
    And no other query was kept back
    And at least 1.0 of the others were answered
    And it was sent in at most 3 retries later than 4 seconds after the third crash

  # Hedges of a part of which nothing had been answered took the last upstream
  # of each of its shards: one part of 6 shards lost 12 attempts.
  Scenario: shards of which none has been answered are not all hedged at once
    Given 2 gateways in each of two zones before 28 shards of 2 upstreams, 8 of them in the other
    And a request for "/all/lethal" crashes every upstream that runs it
    And upstreams of the first zone work for 0.4 seconds, of the other for 0.2
    When a gateway of the first zone is asked for "/all/lethal"
    And 1 second passes
    Then at most 28 upstreams have crashed

  # What the waiting costs where nothing is wrong with the request: the first
  # upstreams of a whole zone take requests and answer none. The goal is 0.5 s.
  Scenario: shards whose first upstreams are all dark are hedged in time
    Given 2 gateways in each of two zones before 28 shards, 8 with an upstream in the other and one in another region
    And every upstream of the other zone is silent
    When a gateway of the first zone is asked for "/all/plain"
    Then the reply has all shards within 0.4 seconds

  # 26 of 40 upstreams crashed on a day on which two hosts were frozen: the first
  # copy waited for a part that a frozen host had, and what it had lost by then
  # was told 0.14 s after the third crash; a second copy had come meanwhile.
  # Evidence: the second copy's line, 20 of 20 late and 13 lost, begins 14 ms
  # after the word of the first was sent, and 0.15 s after the third crash.
  Scenario: a copy that comes while the first is still losing upstreams is kept back
    Given 2 gateways in each of two zones before 20 shards of 2 upstreams, 0 of them in the other
    And a request for "/all/lethal" crashes every upstream that runs it
    And the upstreams of 3 shards work for 0.3 seconds
    When copies of "/all/lethal" come to all gateways in turn, 10 a second for 0.4 seconds
    And 1 second passes
    Then at most 20 upstreams have crashed

  Scenario: a canary goes to the service with the most upstreams left
    Given a request that was lost with 3 upstreams
    When attempts at services with 1, 3 and 2 live upstreams wait
    Then the one at the service with 3 is sent alone
    When its upstream ends too and a copy waits at services with 1 and 2
    Then the copy is sent to nobody
    And nothing is sent to the service with 1

  # Seed 3203 of the soak: two copies that came to one host within 10 ms were
  # both tried, and ended both upstreams of a service.
  Scenario: copies that come to one host together are not tried twice
    Given a request that was lost with 3 upstreams
    When attempts at services with 2 live upstreams wait
    Then the one at the service with 2 is sent alone
    When a copy waits at services with 2 and 3
    Then the copy is sent to nobody

  Scenario: a request that was lost with one upstream may be sent to the last one
    Given a request that was lost with 1 upstream
    When attempts at services with 1 live upstream wait
    Then the one at the service with 1 is sent alone

  # All upstreams of the host's own zone crash at once, and queries that had
  # asked nobody else are lost without an answer.
  Scenario: queries that lose all their upstreams to something else come back soon
    Given 20 shards of 2 replicas in two zones
    And the route "/all/" to all shards
    And a gateway
    When 100 queries a second come for 4 seconds, and after 2 of them all upstreams of zone "north-1" crash
    Then at most 4 of the queries were not answered
    And none of them was kept back for longer than 6 seconds

  # 10 of 200 were answered before, and 141 while each host that asked some
  # shards made trials of its own.
  Scenario: other queries are answered while copies of a lethal one come
    Given 2 gateways in each of two zones before 20 shards of 2 upstreams
    And a request for "/all/lethal" crashes every upstream that runs it
    When copies of "/all/lethal" come to all gateways in turn, 4 a second for 10 seconds, beside 20 other queries a second
    Then no other query was kept back
    And at least 1.0 of the others were answered

  Scenario: a host that starts later keeps it back too
    Given 2 gateways in each of two zones before 6 shards of 2 upstreams
    And a request for "/all/lethal" crashes every upstream that runs it
    When copies of "/all/lethal" come to all gateways in turn, 4 a second for 12 seconds
    And 5 seconds pass
    And one more gateway starts
    And copies of "/all/lethal" come to all gateways in turn, 4 a second for 5 seconds
    Then none of the copies came to an upstream

  Scenario: a host that could not be told at once is told when it is back
    Given 2 gateways in each of two zones before 6 shards of 2 upstreams
    And a request for "/all/lethal" crashes every upstream that runs it
    When one gateway hears nothing from others for 3 seconds, meanwhile a copy of "/all/lethal" comes to another
    And copies of "/all/lethal" come to all gateways in turn, 4 a second for 12 seconds
    And 4 seconds pass
    And copies of "/all/lethal" come to all gateways in turn, 4 a second for 5 seconds
    Then none of the copies came to an upstream

  # Nobody is asked for routes by the host that reads them from the source.
  Scenario: the host that reads the source keeps it back too after it has started again
    Given 2 gateways in each of two zones before 6 shards of 2 upstreams
    And a request for "/all/lethal" crashes every upstream that runs it
    When copies of "/all/lethal" come to all gateways in turn, 4 a second for 12 seconds
    And 12 seconds pass
    And the gateway that reads starts again
    And copies of "/all/lethal" come to all gateways in turn, 4 a second for 5 seconds
    Then none of the copies came to an upstream

  # Seed 2012 of the soak: both asked each other, and 3 copies crashed upstreams.
  Scenario: both hosts of a zone keep it back too after they have started again
    Given 2 gateways in each of two zones before 6 shards of 2 upstreams
    And a request for "/all/lethal" crashes every upstream that runs it
    When copies of "/all/lethal" come to all gateways in turn, 4 a second for 12 seconds
    And 12 seconds pass
    And all gateways of the zone of the one that reads start again
    And copies of "/all/lethal" come to all gateways in turn, 4 a second for 5 seconds
    Then none of the copies came to an upstream

  Scenario: a host that tells what others know already learns the rest from them
    Given a host that has lost 3 trials of a request
    When a host that has lost one trial of it tells so
    Then that one has the request in quarantine too

  Scenario: connections that an upstream resets while it lives are not held against a request
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And "u1" is resetting
    And a gateway
    When 20 requests for "/notes/1" are sent at 10 a second
    And "u1" is good
    And 1 second passes
    And a caller sends GET "/notes/1"
    Then the reply is 200
    And no line says that a request is suspected

  Scenario: crashes of an upstream that answers between them are not held against a request
    Given an upstream "u1" of "notes" that works for 0.3 seconds
    And an upstream "u2" of "notes" that works for 0.3 seconds
    And the route "/notes/" to "notes"
    And a gateway
    When "u1" and "u2" crash in turn every 2 seconds while 200 requests for "/notes/1" come at 10 a second
    And 5 seconds pass
    And a caller sends GET "/notes/1"
    Then the reply is 200
    And no request was kept back

  Scenario: a request that runs once crashes three upstreams at most
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "notes"
    And the route "/notes/" to "notes" that runs once
    And a request for "/notes/lethal" crashes every upstream that runs it
    And a gateway
    When 40 requests for "/notes/lethal" are sent at 2 a second
    Then 3 upstreams have crashed

  Scenario Outline: requests that differ in what they ask or who asks are others
    Given a request
    And one like it with another <part>
    Then their digests differ
    Given one like it with another request id
    Then their digests are the same

    Examples:
      | part          |
      | method        |
      | target        |
      | host          |
      | team          |
      | authorization |
      | body          |

  Scenario: what hosts tell one another of a request is the same in any order
    Then 200 series of trials and answers, told in any order and twice, leave two hosts of one mind

  Scenario: a quarantine lapses after an hour, and one trial makes it twice as long
    Given a host that has lost 3 trials of a request
    Then the request is in quarantine for 3600 seconds
    When 3601 seconds pass
    Then the request is suspected
    When one more trial of it is lost
    Then the request is in quarantine for 7200 seconds
    When 7201 seconds pass
    And an upstream answers it
    Then nothing is held against the request

  Scenario: trials that overlap are one
    Given a host that has lost 3 trials of a request at the same time
    Then the request is suspected

  Scenario: a host remembers no more requests than it has room for
    Given a host that has lost 3 trials of a request
    When 1000 other requests are lost once each
    Then 256 requests are remembered
    And the request is in quarantine for 3600 seconds
