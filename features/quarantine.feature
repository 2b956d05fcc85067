Feature: Requests that crash upstreams are quarantined

  # A request is suspect from its first crash on: a single attempt is sent, the
  # canary, and the others follow when it has been answered. After 3 failed
  # rounds of attempts, or 2 if at least 3 upstreams have crashed, the request
  # is in quarantine: it is refused. It is clear once an upstream has answered
  # it.

  # A wide query that crashes upstreams crashes one of each of 20 shards within
  # 80 ms. Hedges and retries crash the others, and copies of the query arrive
  # at other hosts under other ids: a single request crashed 146 upstreams, and
  # five times in 90 seconds no wide query was answered for three seconds. What
  # a host observes in an attempt must outlive the attempt and reach other
  # hosts. The digest, which is the same in all log lines of the query at all
  # hosts, identifies its copies; other queries have no digest.
  Scenario: log lines identify copies of a request that crashed upstreams
    Given 6 shards of 2 replicas
    And the route "/all/" to all shards
    And a request for "/all/lethal" crashes every upstream that runs it
    And a gateway
    When a caller sends GET "/all/lethal"
    And 4 seconds pass
    And a caller sends GET "/all/lethal"
    Then the 2 log lines of "/all/lethal" have the same digest, and the first has at least 6 lost attempts
    When 4 seconds pass
    And a caller sends GET "/all/plain"
    Then the reply is 200
    And its log line has no digest

  Scenario: at most three more copies of a request that crashed upstreams reach upstreams
    Given 2 gateways in each of two zones in front of 6 shards of 2 upstreams
    And a request for "/all/lethal" crashes every upstream that runs it
    When copies of "/all/lethal" are sent to all gateways in turn, 4 a second for 20 seconds
    Then at most 3 copies reach upstreams later than 4 seconds after the third crash
    And at most 24 upstreams have crashed

  Scenario: at most three more copies of a request to one service reach its upstreams
    Given 2 gateways in each of two zones in front of 1 shard of 4 upstreams
    And the route "/one/" to one of the shards
    And a request for "/one/lethal" crashes every upstream that runs it
    When copies of "/one/lethal" are sent to all gateways in turn, 4 a second for 20 seconds
    Then at most 3 copies reach upstreams later than 4 seconds after the third crash
    And at most 8 upstreams have crashed

  # 40 upstreams crash if retries go to the second upstream of each shard, and
  # 22 if two canaries go to the last upstreams of two shards.
  Scenario: an unknown lethal query over 20 shards crashes one upstream of each
    Given 20 shards of 2 replicas
    And the route "/all/" to all shards
    And a request for "/all/lethal" crashes every upstream that runs it
    And a gateway
    When a caller sends GET "/all/lethal"
    Then the reply is 502
    And 20 upstreams have crashed
    When a caller sends GET "/all/lethal"
    Then the reply is 503
    And the reply has a Retry-After of 6 seconds
    And the log has a line of it with the outcome "quarantined" and a reason
    And 20 upstreams have crashed
    When 6 seconds pass
    And a caller sends GET "/all/lethal"
    Then the reply is 502
    And 21 upstreams have crashed
    When a caller sends GET "/all/lethal"
    Then the reply is 503
    And the reply has a Retry-After of 3600 seconds
    And the log has a line of it with the outcome "quarantined" and a reason
    And 21 upstreams have crashed

  # The first copy crashes one upstream of each of 20 shards. Canaries and
  # hedges must not go to the last upstream of a shard. If two to five more
  # shards lose theirs, no query can be answered until these have restarted, and
  # two in three wide queries of the next three seconds fail. A canary therefore
  # goes to the shard with the most upstreams left, and hosts learn of crashes
  # before registrations lapse. Without these rules 22 to 30 upstreams crash
  # where 20 or 21 suffice, and 0 to 32 of 108 queries of the next second are
  # answered in time.
  Scenario: a request that crashes upstreams leaves each shard one, over all hosts
    Given 2 gateways in each of two zones in front of 20 shards of 2 upstreams
    And a request for "/all/lethal" crashes every upstream that runs it
    When copies of "/all/lethal" are sent to all gateways in turn, 4 a second for 20 seconds, along with 20 other queries a second
    Then no shard was without an upstream at any time
    And at most 22 upstreams have crashed
    And no other query was quarantined
    And at least a fraction of 1.0 of the other queries was answered
    And at most 3 copies reach upstreams later than 4 seconds after the third crash

  # If no shard of a part has answered and all of them are hedged, the hedges
  # crash the last upstream of each: one part of 6 shards lost 12 attempts.
  Scenario: if no shard of a part has answered, its shards are not all hedged at once
    Given 2 gateways in each of two zones in front of 28 shards of 2 upstreams, 8 of these shards in the other zone
    And a request for "/all/lethal" crashes every upstream that runs it
    And upstreams of the first zone take 0.4 seconds per request, those of the other zone 0.2
    When a gateway of the first zone is asked for "/all/lethal"
    And 1 second passes
    Then at most 28 upstreams have crashed

  # The cost of holding hedges back for a request that is not at fault: the
  # first upstreams of a whole zone accept requests and answer none. The
  # latency goal is 0.5 s.
  Scenario: shards are hedged in time if all their first upstreams do not answer
    Given 2 gateways in each of two zones in front of 28 shards, 8 of them with one upstream in the other zone and one in another region
    And every upstream of the other zone is silent
    When a gateway of the first zone is asked for "/all/plain"
    Then the reply covers all shards and takes at most 0.4 seconds

  # A copy that starts before the crashes of the first are reported must not
  # crash further upstreams. The report may be late because the first copy waits
  # for a part: with two frozen hosts it was sent 0.14 s after the third crash. A
  # copy that started 14 ms later, 0.15 s after the third crash, did not know of
  # it and lost 13 attempts, so 26 of 40 upstreams crashed.
  Scenario: a copy that arrives while the first still crashes upstreams is quarantined
    Given 2 gateways in each of two zones in front of 20 shards of 2 upstreams, 0 of these shards in the other zone
    And a request for "/all/lethal" crashes every upstream that runs it
    And the upstreams of 3 shards take 0.3 seconds per request
    When copies of "/all/lethal" are sent to all gateways in turn, 10 a second for 0.4 seconds
    And 1 second passes
    Then at most 20 upstreams have crashed

  Scenario: a canary goes to the service with the most upstreams left
    Given a request whose first attempt crashed 3 upstreams
    When attempts wait at services with 1, 3 and 2 live upstreams
    Then only the attempt at the service with 3 is sent
    When its upstream crashes too and attempts of a copy wait at services with 1 and 2
    Then no attempt of the copy is sent
    And nothing is sent to the service with 1

  # Two copies arrive at one host within 10 ms. If both are sent as canaries,
  # they crash both upstreams of a service. Found by the soak test with seed
  # 3203.
  Scenario: copies that arrive at one host together are not both sent as canaries
    Given a request whose first attempt crashed 3 upstreams
    When attempts wait at services with 2 live upstreams
    Then only the attempt at the service with 2 is sent
    When attempts of a copy wait at services with 2 and 3
    Then no attempt of the copy is sent

  Scenario: a request that crashed one upstream may be sent to the last upstream of a service
    Given a request whose first attempt crashed 1 upstream
    When attempts wait at services with 1 live upstream
    Then only the attempt at the service with 1 is sent

  # All upstreams of the host's own zone crash at once, so queries that were
  # sent to no other zone are lost without an answer.
  Scenario: queries whose upstreams all crash for another reason get a short Retry-After
    Given 20 shards of 2 replicas in two zones
    And the route "/all/" to all shards
    And a gateway
    When 100 queries a second are sent for 4 seconds, and after 2 seconds all upstreams of zone "north-1" crash
    Then at most 4 of the queries were not answered
    And no query was refused with a Retry-After above 6 seconds

  # Copies leave other queries without upstreams unless the request is
  # quarantined, and unless one canary is sent for all hosts that query some of
  # the shards. Without the quarantine 10 of 200 other queries are answered, and
  # 141 if each such host sends canaries of its own.
  Scenario: other queries are answered while copies of a lethal request arrive
    Given 2 gateways in each of two zones in front of 20 shards of 2 upstreams
    And a request for "/all/lethal" crashes every upstream that runs it
    When copies of "/all/lethal" are sent to all gateways in turn, 4 a second for 10 seconds, along with 20 other queries a second
    Then no other query was quarantined
    And at least a fraction of 1.0 of the other queries was answered

  Scenario: a host that starts later quarantines the request too
    Given 2 gateways in each of two zones in front of 6 shards of 2 upstreams
    And a request for "/all/lethal" crashes every upstream that runs it
    When copies of "/all/lethal" are sent to all gateways in turn, 4 a second for 12 seconds
    And 5 seconds pass
    And one more gateway starts
    And copies of "/all/lethal" are sent to all gateways in turn, 4 a second for 5 seconds
    Then none of the copies reached an upstream

  Scenario: a host that misses the first report gets it when it answers again
    Given 2 gateways in each of two zones in front of 6 shards of 2 upstreams
    And a request for "/all/lethal" crashes every upstream that runs it
    When one gateway answers no request of its peers for 3 seconds while a copy of "/all/lethal" is sent to another gateway
    And copies of "/all/lethal" are sent to all gateways in turn, 4 a second for 12 seconds
    And 4 seconds pass
    And copies of "/all/lethal" are sent to all gateways in turn, 4 a second for 5 seconds
    Then none of the copies reached an upstream

  # The host that reads the source asks no other host for routes.
  Scenario: the host that reads the source quarantines the request after a restart
    Given 2 gateways in each of two zones in front of 6 shards of 2 upstreams
    And a request for "/all/lethal" crashes every upstream that runs it
    When copies of "/all/lethal" are sent to all gateways in turn, 4 a second for 12 seconds
    And 12 seconds pass
    And the gateway that reads the source restarts
    And copies of "/all/lethal" are sent to all gateways in turn, 4 a second for 5 seconds
    Then none of the copies reached an upstream

  # Two hosts that restart together ask only each other, and 3 copies crash
  # upstreams. Found by the soak test with seed 2012.
  Scenario: both hosts of a zone quarantine the request after they have restarted
    Given 2 gateways in each of two zones in front of 6 shards of 2 upstreams
    And a request for "/all/lethal" crashes every upstream that runs it
    When copies of "/all/lethal" are sent to all gateways in turn, 4 a second for 12 seconds
    And 12 seconds pass
    And all gateways in the zone of the gateway that reads the source restart
    And copies of "/all/lethal" are sent to all gateways in turn, 4 a second for 5 seconds
    Then none of the copies reached an upstream

  # Only the source outlives the loss of all hosts.
  Scenario Outline: a request stays in quarantine when all hosts are lost: <target>
    Given 2 gateways in each of two zones in front of 6 shards of 2 upstreams
    And the route "/one/" to one of the shards
    And a request for "<target>" crashes every upstream that runs it
    When copies of "<target>" are sent to all gateways in turn, 8 a second for 42 seconds, and all gateways are killed every 7 seconds
    Then at most 3 copies reach upstreams later than 4 seconds after the third crash
    And at most <crashes> upstreams have crashed
    And the hosts saved records in at most 4 writes

    Examples:
      | target      | crashes |
      | /all/lethal | 8       |
      | /one/lethal | 4       |

  Scenario: a request is saved after an outage of the source, before all hosts are lost
    Given 2 gateways in each of two zones in front of 6 shards of 2 upstreams
    And a request for "/all/lethal" crashes every upstream that runs it
    And the source is down from the first crash until 3 seconds later
    When copies of "/all/lethal" are sent to all gateways in turn, 8 a second for 42 seconds, and all gateways are killed every 7 seconds
    Then at most 3 copies reach upstreams later than 4 seconds after the third crash
    And at most 8 upstreams have crashed

  Scenario: a request is saved again after the source was restored from an older copy
    Given 2 gateways in each of two zones in front of 6 shards of 2 upstreams
    And a request for "/all/lethal" crashes every upstream that runs it
    When a snapshot of the source is made
    And copies of "/all/lethal" are sent to all gateways in turn, 8 a second for 12 seconds
    And the source is restored from the snapshot after an outage of 2 seconds
    And 3 seconds pass
    And copies of "/all/lethal" are sent to all gateways in turn, 8 a second for 42 seconds, and all gateways are killed every 7 seconds
    Then none of the copies reached an upstream

  Scenario: a host that starts waits at most 0.25 seconds longer for saved records
    Given a host that saves its records, with 3 recorded crashes
    When the source takes 1.5 seconds for the saved records
    And the host is replaced by one that loads the saved records
    Then loading took at most 0.25 seconds
    And the request is clear
    When 0.5 seconds pass
    Then the request is in quarantine for 3597 seconds

  Scenario: a host that got no saved records asks for them with its next reading
    Given a host that saves its records, with 3 recorded crashes
    When the source refuses to send the saved records
    And the host is replaced by one that loads the saved records
    Then the request is clear
    When the source sends the saved records again
    And the records are loaded again
    Then the request is in quarantine for 3598 seconds

  Scenario: a request that is answered after all is not saved any longer
    Given a host that saves its records, with 3 recorded crashes
    Then the source has 1 saved record after 2 writes
    When an upstream answers it
    Then the source has 0 saved records after 3 writes

  Scenario: a request that has crashed a single upstream is not saved
    Given a host that saves its records, with 1 recorded crash
    Then the source has 0 saved records after 0 writes

  Scenario: a saved record is as old after a restart as it was before
    Given a host that saves its records, with 3 recorded crashes
    When 1000 seconds pass
    And the host is replaced by one that loads the saved records
    Then the request is in quarantine for 2598 seconds
    And the source has 1 saved record after 2 writes

  Scenario: saved records that have expired are removed by a host that starts
    Given a host that saves its records, with 3 recorded crashes
    When 50000 seconds pass
    And 50000 seconds pass
    And the host is replaced by one that loads the saved records
    Then the request is clear
    And the source has 0 saved records after 3 writes

  Scenario: an expired record is saved again if its request crashes upstreams again
    Given a host that saves its records, with 3 recorded crashes
    When 50000 seconds pass
    And 50000 seconds pass
    And the host is replaced by one that loads the saved records
    And 2 more crashes of it are recorded before expired records are removed
    And 2 seconds pass
    And the host is replaced by one that loads the saved records
    Then the request is suspect

  Scenario: a host that reports a crash gets the receiver's record in reply
    Given a host with 3 recorded crashes of a request
    When a host with one recorded crash of it sends its record
    Then that host has the request in quarantine too

  Scenario: connections reset by a live upstream do not make a request suspect
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And "u1" is resetting
    And a gateway
    When 20 requests for "/notes/1" are sent at 10 a second
    And "u1" is good
    And 1 second passes
    And a caller sends GET "/notes/1"
    Then the reply is 200
    And no log line reports a suspect request

  Scenario: crashes of upstreams that also answer a request do not quarantine it
    Given an upstream "u1" of "notes" that works for 0.3 seconds
    And an upstream "u2" of "notes" that works for 0.3 seconds
    And the route "/notes/" to "notes"
    And a gateway
    When "u1" and "u2" crash in turn every 2 seconds while 200 requests for "/notes/1" are sent at 10 a second
    And 5 seconds pass
    And a caller sends GET "/notes/1"
    Then the reply is 200
    And no request was quarantined

  Scenario: copies of a request on a route that runs once crash at most three upstreams
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "notes"
    And the route "/notes/" to "notes" that runs once
    And a request for "/notes/lethal" crashes every upstream that runs it
    And a gateway
    When 40 requests for "/notes/lethal" are sent at 2 a second
    Then 3 upstreams have crashed

  Scenario Outline: requests that differ in content or sender have different digests
    Given a request
    And the same request with another <part>
    Then their digests differ
    Given the same request with another request id
    Then their digests are the same

    Examples:
      | part          |
      | method        |
      | target        |
      | host          |
      | team          |
      | authorization |
      | body          |

  Scenario: records of a request merge to the same state in any order
    Then 200 series of crashes and answers, sent in any order and twice, give two hosts the same state

  Scenario: a quarantine ends after an hour, and another crash doubles it
    Given a host with 3 recorded crashes of a request
    Then the request is in quarantine for 3600 seconds
    When 3601 seconds pass
    Then the request is suspect
    When one more crash of it is recorded
    Then the request is in quarantine for 7200 seconds
    When 7201 seconds pass
    And an upstream answers it
    Then the request is clear

  Scenario: crashes of attempts that overlap count as one
    Given a host with 3 simultaneous crashes of a request
    Then the request is suspect

  Scenario: a host keeps a bounded number of records
    Given a host with 3 recorded crashes of a request
    When 1000 other requests crash one upstream each
    Then 256 requests have a record
    And the request is in quarantine for 3600 seconds
