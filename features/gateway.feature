Feature: A gateway forwards requests to upstreams

  Scenario: method, path, query, headers and body reach the upstream unchanged
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes" that runs once
    And a gateway
    When a caller sends POST "/notes/a%20b?x=1&y=2" with the body "parcel" and the header "X-Color: blue"
    Then the reply is 200
    And "u1" ran it as POST "/notes/a%20b?x=1&y=2" with the body "parcel"
    And "u1" was sent the header "x-color" as "blue"
    And "u1" was sent its own id as the expected upstream

  Scenario: hop-by-hop headers are not forwarded
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When a caller sends GET "/notes/1" with the header "Connection: x-own, keep-alive" and the header "X-Own: 1"
    Then the reply is 200
    And "u1" was not sent the header "x-own"
    And "u1" was not sent the header "connection"

  # Guards against a second reply to a request, which the next request gets.
  Scenario Outline: <count> requests that offer an upgrade, <how>, get one reply each
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When a caller sends <count> requests "<request>" that offer an upgrade, <how>
    Then it gets <count> replies in order, each with its own request id
    And the connection is open
    And each of them ran whole, and "u1" was not sent the header "upgrade"

    Examples:
      | count | request                 | how            |
      | 4     | GET /notes/1            | one by one     |
      | 4     | POST /notes/1           | one by one     |
      | 4     | GET /notes/1            | in one segment |
      | 4     | POST /notes/1           | in one segment |
      | 2     | GET /notes/1            | byte by byte   |
      | 2     | POST /notes/1           | byte by byte   |

  # Guards against callers that fill the memory of a host.
  Scenario Outline: a caller that sends <bytes> without end is answered <status>
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And callers may send 1000 bytes of headers and 4000 of body, the headers within 1 second
    And a gateway
    When a caller sends a request with <bytes> without end
    Then the reply is <status>
    And the caller has sent at most 1 MB
    And no upstream ran anything

    Examples:
      | bytes             | status |
      | header lines      | 431    |
      | a header value    | 431    |
      | a target          | 431    |
      | a chunk extension | 413    |
      | trailers          | 431    |
      | a trailer value   | 413    |
      | chunk extensions  | 413    |
      | chunks            | 413    |

  Scenario: a body in chunks of one byte is read whole
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And callers may send 1000 bytes of headers and 4000 of body, the headers within 1 second
    And a gateway
    When a caller sends a body of 4000 bytes in chunks of one byte
    Then the reply is 200

  Scenario: a CONNECT request gets one reply
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When a caller sends CONNECT to the gateway, and bytes that are not HTTP
    Then it gets one reply with status 400, and the connection ends
    And no upstream ran anything

  Scenario: a stamp that an upstream lists in Connection reaches the caller
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    And "u1" is listing
    When a caller sends GET "/notes/1"
    Then the reply is 200
    And the reply has the stamp and the request id of "u1"

  Scenario: a chunked body reaches the upstream complete
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes" that runs once
    And a gateway
    When a caller sends POST "/notes/1" in the chunks "par" and "cel"
    Then the reply is 200
    And "u1" ran it as POST "/notes/1" with the body "parcel"

  Scenario: the route with the longest matching prefix of the host is used
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "scans"
    And the route "/a/" to "notes"
    And the route "/a/b/" to "scans"
    And a gateway
    When a caller sends GET "/a/b/c"
    Then the reply is 200
    And only "u2" ran it
    When a caller sends GET "/a/bc"
    Then only "u1" ran it
    When a caller sends GET "/other"
    Then the reply is 404
    When a caller sends GET "/a/1" to the host "other.example"
    Then the reply is 404

  Scenario: a gateway without routes refuses requests with a Retry-After header
    Given an upstream "u1" of "notes"
    And a gateway
    When a caller sends GET "/notes/1"
    Then the reply is 503
    And the reply has a Retry-After of less than 1 second
    And the gateway is not ready

  Scenario: requests are distributed by the weights of a split
    Given an upstream "u1" of "left"
    And an upstream "u2" of "right"
    And the route "/s/" split 3 to 1 over "left" and "right"
    And a gateway
    When 80 requests for "/s/1" are sent at 20 a second
    Then "u1" ran 60 of them and "u2" 20

  Scenario: requests that one target of a split sheds are not sent to another target
    Given an upstream "u1" of "left"
    And an upstream "u2" of "right"
    And the route "/s/" split 1 to 1 over "left" and "right"
    And "u1" is shedding
    And a gateway
    When 40 requests for "/s/1" are sent at 20 a second
    Then "u1" ran 0 of them and "u2" 20

  Scenario: an older routing table never replaces a newer one
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "scans"
    And the route "/a/" to "notes"
    And a gateway
    When the route "/a/" is moved to "scans"
    And 1 second passes
    And the source returns the previous table again
    And 15 seconds pass
    And a caller sends GET "/a/1"
    Then only "u2" ran it

  Scenario: a new routing table takes effect within 0.1 seconds
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "scans"
    And the route "/a/" to "notes"
    And a gateway
    When the route "/a/" is moved to "scans"
    And 0.1 seconds pass
    And a caller sends GET "/a/1"
    Then only "u2" ran it

  Scenario: a table whose watch event was lost takes effect after the history is compacted
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "scans"
    And the route "/a/" to "notes"
    And a gateway
    When the source sends no events to its watches
    And the route "/a/" is moved to "scans"
    And 1 second passes
    And the source compacts its history and ends its watches
    And 0.5 seconds pass
    And a caller sends GET "/a/1"
    Then only "u2" ran it

  Scenario: the table is read once after the history is compacted
    Given an upstream "u1" of "notes"
    And the route "/a/" to "notes"
    And a gateway
    When the source compacts its history and ends its watches
    And 3 seconds pass
    Then the table was read 2 times, including once at the start

  Scenario: a table written during an outage of the source takes effect after the outage
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
    Then only "u2" ran it

  Scenario: a reply with the stamp of another request is never forwarded
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And "u1" replies to every request twice, the second time late
    And a gateway
    When 40 requests for "/notes/1" are sent at 100 a second
    Then every reply is 200 and has the stamp of its own request

  # `truncating` omits the last byte of the reply, `spoiling` sends what is not
  # HTTP, `encoding` adds a Content-Encoding header, `unsigned` omits the stamp,
  # and `resetting` closes the connection without a reply.
  Scenario Outline: an incomplete or invalid reply is not forwarded: <fault>
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

  Scenario: a reply without a length is lost if its connection is reset
    When a connection receives a reply without a length and is reset
    Then its request is lost and may have run

  Scenario: a reply without a length ends when its connection is closed
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And "u1" is unframed
    And a gateway
    When a caller sends GET "/notes/1"
    Then the reply is 200
    And its body is complete

  Scenario Outline: an idempotent request is retried after a failure: <fault>
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    And the route "/notes/" to "notes"
    And "u1" is <fault>
    And a gateway
    When a caller sends GET "/notes/1"
    Then the reply is 200
    And "u2" ran it and finished a request

    Examples:
      | fault       |
      | failing     |
      | resetting   |
      | truncating  |
      | spoiling    |
      | shedding    |
      | misdirected |
      | silent      |

  Scenario Outline: a non-idempotent request is not retried after a failure: <fault>
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

  # Guards against a promise that an upstream's failure seems to make: its
  # status says that the request has not run, although it has.
  Scenario Outline: a failure that may follow a run is not passed on as a refusal: status <status>
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes" that runs once
    And the route "/again/" to "notes"
    And "u1" runs every request and then fails with status <status>
    And a gateway
    When a caller sends POST "/notes/1" with the body "parcel"
    Then the reply is 502
    And the reply has no stamp
    And it ran 1 time
    When a caller sends GET "/again/1"
    Then the reply is <status>

    Examples:
      | status |
      | 408    |
      | 429    |
      | 503    |

  Scenario Outline: a non-idempotent request is retried after a rejection: <fault>
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

  # The only upstream gets the second attempt too. It sends the late copy of
  # the rejection when the second attempt is due, and with the same request id.
  Scenario Outline: a late copy of a rejection is not taken for the reply to a retry: <count> connections
    Given an upstream "u1" of "notes"
    And an upstream of "notes" accepts <count> connections
    And the route "/notes/" to "notes" that runs once
    And "u1" rejects every first attempt twice, the second time late
    And a gateway with a slack of 40 extra requests
    When 40 requests for "/notes/1" are sent at 25 a second
    Then every reply is 200 and has the stamp of its own request
    And each request ran 1 time
    And "u1" never had more than <count> connections

    Examples:
      | count |
      | 100   |
      | 1     |

  # Guards against a 503 to a request that runs: a late copy of another
  # request's rejection was taken for its own, because neither had an id.
  Scenario Outline: a rejection without a request id is not taken for a request's own: status <status>
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes" that runs once
    And "u1" rejects every second request twice with status <status>, without its id
    And a gateway with a slack of 40 extra requests
    When 40 requests for "/notes/1" are sent at 25 a second
    Then no request that ran got a reply that promises the contrary
    And each request ran at most 1 time

    Examples:
      | status |
      | 503    |
      | 429    |
      | 421    |

  Scenario: a request that all upstreams shed is refused quickly and has not run
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    And the route "/notes/" to "notes" that runs once
    And "u1" is shedding
    And "u2" is shedding
    And a gateway
    When a caller sends POST "/notes/1" with the body "parcel"
    Then the reply is 503
    And the reply has a Retry-After of less than 1 second
    And it ran 0 times
    And it took less than 0.2 seconds

  Scenario: a request to a service without upstreams is refused at once
    Given the route "/notes/" to "notes"
    And a gateway
    When a caller sends GET "/notes/1"
    Then the reply is 503
    And the reply has a Retry-After of less than 1 second
    And it took less than 0.01 seconds

  Scenario: a request runs once after an idle connection was reset
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes" that runs once
    And a gateway
    When a caller sends POST "/notes/1" with the body "parcel"
    And "u1" is restarted
    And 5 seconds pass
    And a caller sends POST "/notes/2" with the body "parcel"
    Then the reply is 200
    And it ran 1 time

  Scenario: a request is not executed by another upstream that took over the address
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    And the route "/notes/" to "notes" that runs once
    And a gateway
    When the address of "u1" is taken over by "x1" of "scans"
    And a caller sends POST "/notes/1" with the body "parcel"
    Then the reply is 200
    And only "u2" ran it

  Scenario: an address taken over by another upstream gets only one request
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    And the route "/notes/" to "notes"
    And a gateway
    When the address of "u1" is taken over by "x1" of "scans"
    And 100 requests for "/notes/1" are sent at 25 a second
    Then every reply is 200
    And 1 request in total has reached the address of "u1"

  Scenario: the address of the only upstream gets only one request after it was taken over
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When the address of "u1" is taken over by "x1" of "scans"
    And 100 requests for "/notes/1" are sent at 25 a second
    Then 1 request in total has reached the address of "u1"

  Scenario: a request is aborted at its upstream when the caller disconnects
    Given an upstream "u1" of "notes" that works for 5 seconds
    And the route "/notes/" to "notes" with a timeout of 10 seconds
    And a gateway
    When a caller sends GET "/notes/1" with a deadline of 9 seconds and disconnects after 0.2 seconds
    And 0.5 seconds pass
    Then "u1" has aborted its requests

  Scenario: a request is aborted at every shard when the caller disconnects
    Given 5 shards that work for 5 seconds
    And the route "/all/" to all shards with a timeout of 10 seconds
    And a gateway
    When a caller sends GET "/all/1" with a deadline of 9 seconds and disconnects after 0.2 seconds
    And 0.5 seconds pass
    Then every upstream has aborted its requests

  Scenario: the remaining time is sent to upstreams
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes" with a timeout of 0.6 seconds
    And a gateway
    When a caller sends GET "/notes/1" with a deadline of 5 seconds
    Then "u1" was sent a deadline of at most 600 ms

  Scenario: a request times out after its route's timeout
    Given an upstream "u1" of "notes" that works for 5 seconds
    And the route "/notes/" to "notes" with a timeout of 0.6 seconds
    And a gateway
    When a caller sends GET "/notes/1" with a deadline of 5 seconds
    Then the reply is 504
    And it took less than 0.61 seconds
    And it took more than 0.5 seconds

  Scenario: a request times out at the caller's deadline
    Given an upstream "u1" of "notes" that works for 5 seconds
    And the route "/notes/" to "notes" with a timeout of 10 seconds
    And a gateway
    When a caller sends GET "/notes/1" with a deadline of 0.4 seconds
    Then the reply is 504
    And it took less than 0.41 seconds

  Scenario: the greatest records of all shards are merged
    Given shards with the records "b", "ab", "bc" and "a"
    And the route "/all/" to all shards for the greatest 4 records
    And a gateway
    When a caller sends GET "/all/1"
    Then the reply is 200
    And its records are "cbbb"
    And 0 shards are missing and the reply has the stamps of 4

  Scenario: an incomplete record at the end of a reply is ignored
    Given shards with the records "b", "a" and "c"
    And a shard that sends half a record
    And the route "/all/" to all shards for the greatest 9 records
    And a gateway
    When a caller sends GET "/all/1"
    Then its records are "cba"

  Scenario: the reported coverage is correct when a shard fails
    Given 10 shards
    And the route "/all/" to all shards, at least 0.9 of them
    And every upstream of shard 3 is failing
    And a gateway
    When a caller sends GET "/all/1"
    Then the reply is 200
    And 1 shards are missing and the reply has the stamps of 9

  Scenario: the log line of a query names the missing shards and the reason
    Given 10 shards of 2 replicas
    And the route "/all/" to all shards, at least 0.9 of them
    And every upstream of shard 3 is failing
    And a gateway
    When a caller sends GET "/all/1"
    Then the log line of the last request has the detail "shard-3: failure: status 500"
    And the log line of the last request has 1 extras and 0 denied

  Scenario: the log line of a late query names the shards missing at its latency goal
    Given 10 shards
    And the route "/all/" to all shards, at least 0.9 of them
    And every upstream of shard 3 is silent
    And every upstream of shard 4 is silent
    And a gateway
    When a caller sends GET "/all/1"
    Then the log line of the last request has waited_for "shard-3: shard-3-0 182 ms; shard-4: shard-4-0 182 ms"

  Scenario: a query fails at once when its minimum coverage is out of reach
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
    And the reply has a Retry-After of less than 1 second
    And it took less than 0.01 seconds
    And no upstream ran anything

  Scenario: a query is sent when enough shards have upstreams
    Given 10 shards
    And the route "/all/" to all shards, at least 0.9 of them
    And a gateway
    When the entry of "shard-3-0" lapses
    And 1.6 seconds pass
    And a caller sends GET "/all/1"
    Then the reply is 200
    And 1 shards are missing and the reply has the stamps of 9

  Scenario: coverage equal to the minimum is enough
    Given 20 shards
    And the route "/all/" to all shards, at least 0.85 of them
    And every upstream of shard 3 is failing
    And every upstream of shard 4 is failing
    And every upstream of shard 5 is failing
    And a gateway
    When a caller sends GET "/all/1"
    Then the reply is 200
    And 3 shards are missing and the reply has the stamps of 17

  Scenario: a reply with enough coverage is sent by the latency goal
    Given 10 shards
    And the route "/all/" to all shards, at least 0.9 of them
    And every upstream of shard 3 is silent
    And a gateway
    When a caller sends GET "/all/1"
    Then the reply is 200
    And it took less than 0.2 seconds
    And 1 shards are missing and the reply has the stamps of 9

  Scenario: a request to a paused replica is hedged
    Given 10 shards of 2 replicas
    And the route "/all/" to all shards, at least 0.9 of them
    And the near upstream of shard 3 is silent
    And a gateway
    When a caller sends GET "/all/1"
    Then the reply is 200
    And 0 shards are missing and the reply has the stamps of 10
    And it took less than 0.2 seconds

  Scenario: each late shard of a wide query is hedged, also to another region
    Given 70 shards of 2 replicas
    And the route "/all/" to all shards, at least 0.9 of them
    And the near upstream of shard 3 is silent
    And a gateway
    When a caller sends GET "/all/1"
    Then the reply is 200
    And 0 shards are missing and the reply has the stamps of 70
    And it took less than 0.2 seconds

  Scenario: the next request is not sent to a paused replica
    Given 10 shards of 2 replicas
    And the route "/all/" to all shards, at least 0.9 of them
    And the near upstream of shard 3 is silent
    And a gateway
    When a caller sends GET "/all/1"
    And a caller sends GET "/all/2"
    Then it took less than 0.04 seconds

  Scenario: extra requests stay within the budget when all upstreams are slow
    Given 4 shards of 2 replicas
    And the route "/all/" to all shards, at least 0.5 of them
    And every upstream is silent
    And a gateway with a slack of 10 extra requests
    When 300 requests for "/all/1" are sent at 30 a second
    Then no service got more than 0.2 extra requests per request plus 10 in any 10 seconds

  Scenario: extra requests stay within the budget when one shard is slow
    Given 4 shards of 2 replicas
    And the route "/all/" to all shards, at least 0.5 of them
    And every upstream of shard 2 is silent
    And a gateway with a slack of 10 extra requests
    When 300 requests for "/all/1" are sent at 30 a second
    Then no service got more than 0.2 extra requests per request plus 10 in any 10 seconds
    And some extra requests were sent

  Scenario: no hedges are sent when all shards are equally slow
    Given 10 shards of 2 replicas that work for 0.1 seconds
    And the route "/all/" to all shards
    And a gateway
    When 20 requests for "/all/1" are sent at 5 a second
    Then every reply is 200
    And no shard got an extra request

  Scenario: extra requests stay within the budget when all upstreams shed load
    Given 4 shards of 2 replicas
    And the route "/all/" to all shards, at least 0.5 of them
    And every upstream is shedding
    And a gateway with a slack of 10 extra requests
    When 300 requests for "/all/1" are sent at 30 a second
    Then no service got more than 0.2 extra requests per request plus 10 in any 10 seconds
    And some extra requests were sent

  Scenario: no request is sent to more upstreams than its route allows
    Given 2 shards of 4 replicas
    And the route "/all/" to all shards, at least 0.5 of them
    And every upstream is resetting
    And a gateway
    When 20 requests for "/all/1" are sent at 10 a second
    Then no request ran at more than 2 upstreams of a shard

  Scenario: replies stay timely under three times the shards' capacity
    Given 6 shards with 2 slots that work for 0.04 seconds
    And the route "/urgent/" to all shards with priority 1
    And the route "/other/" to all shards with priority 3
    And a gateway
    When both routes get requests for 10 seconds, together 3 times the capacity of the shards
    Then replies with status 200 within 0.2 seconds reach at least 0.8 of the capacity of the shards
    And urgent requests are answered more often than the others
    And refused requests have not run and got a Retry-After header at once

  Scenario: queries are not refused when refusing them does not reduce the latency
    Given 6 shards that work for 0.3 seconds
    And the route "/all/" to all shards
    And a gateway
    When 600 requests for "/all/1" are sent at 20 a second
    Then more than 0.7 of the replies are 200

  Scenario: a host does not refuse queries because a few shards are slow
    Given 10 shards of 2 replicas
    And the route "/all/" to all shards, at least 0.5 of them
    And every upstream of shard 3 is silent
    And every upstream of shard 4 is silent
    And a gateway with a slack of 10 extra requests
    When 300 requests for "/all/1" are sent at 30 a second
    Then every reply is 200

  Scenario: a reply comes from one shard version while the shards are replaced
    Given 4 shards that work for 0.15 seconds
    And the route "/all/" to all shards, at least 0.5 of them
    And a gateway
    When requests for "/all/1" are sent at 50 a second for 4 seconds while 6 new shards replace the old
    Then every reply is 200
    And every reply names 4 old shards or 6 new shards and never both

  Scenario: an upstream never has more connections than it accepts
    Given 1 shard that accepts 4 connections
    And the route "/all/" to all shards
    And a gateway
    When 400 requests for "/all/1" are sent at 1000 a second
    Then the shard never had more than 4 connections

  Scenario: a draining upstream gets no new requests
    Given an upstream "u1" of "notes"
    And an upstream "u2" of "notes" in "south-1"
    And the route "/notes/" to "notes"
    And a gateway
    When "u1" says that it drains
    And 1.6 seconds pass
    And 20 requests for "/notes/1" are sent at 20 a second
    Then "u1" ran 0 of them and "u2" 20

  Scenario: a request in flight at a draining upstream is completed
    Given an upstream "u1" of "notes" that works for 3 seconds
    And the route "/notes/" to "notes" with a timeout of 10 seconds that runs once
    And a gateway
    When "u1" drains and its entry is removed while it works on a request
    Then the reply is 200

  Scenario: upstreams whose entries expire during an outage are kept for a grace period
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

  Scenario: an upstream whose entry expires without an outage is removed at once
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When the entry of "u1" lapses
    And 1.6 seconds pass
    And a caller sends GET "/notes/1"
    Then the reply is 503

  Scenario: a planned stop interrupts no request, and open connections are served
    Given an upstream "u1" of "notes" that works for 0.1 seconds
    And the route "/notes/" to "notes"
    And a gateway
    When the gateway is stopped while callers send on open connections
    Then no request was cut
    And the gateway has ended within 6 seconds

  Scenario: a stopping gateway reports at once that it is not ready
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    Then the gateway is ready
    When the gateway is asked to stop
    Then the gateway is not ready
    When a caller sends GET "/notes/1"
    Then the reply is 200
    And the reply has Connection: close

  Scenario: a long request received before the stop is answered
    Given an upstream "u1" of "notes" that works for 4 seconds
    And the route "/notes/" to "notes" with a timeout of 10 seconds that runs once
    And a gateway
    When the gateway is asked to stop during a POST "/notes/1"
    Then the reply is 200
    And the gateway has ended within 6 seconds

  Scenario Outline: a request that is malformed or exceeds a limit is refused: <what>
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes" that runs once
    And callers may send 200 bytes of headers and 100 of body, the headers within 1 second
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

  Scenario Outline: a request with an ambiguous length reaches no upstream: <what>
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

  Scenario: pipelined requests are answered in order
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When a caller pipelines 3 requests for "/notes/1"
    Then it gets 3 replies in the order of the requests

  Scenario: a connection with unsent bytes of a request is not reused
    When a connection receives a reply while bytes of its request are unsent
    Then its reply is accepted and the connection is closed

  # `early` replies before it has read the body.
  Scenario: after an early reply no bytes of the body are sent with the next request
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

  Scenario: every failed request is logged with its id and reason
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And "u1" is resetting
    And a gateway
    When a caller sends GET "/notes/1"
    Then the log has a line of it with the outcome "lost" and a reason

  Scenario: a request whose caller disconnects is logged
    Given an upstream "u1" of "notes" that works for 5 seconds
    And the route "/notes/" to "notes"
    And a gateway
    When a caller sends GET "/notes/1" with a deadline of 1 second and disconnects after 0.2 seconds
    And 0.1 seconds pass
    Then the log has a line of it with the outcome "caller_left" and a reason

  Scenario: the log is limited and counts the omitted lines
    Given the route "/notes/" to "notes"
    And a gateway
    When 900 requests for "/notes/1" are sent at 450 a second
    And 3 seconds pass
    And a caller sends GET "/notes/1"
    Then the log has at most 500 request lines
    And the log counts the omitted lines

  Scenario: the loss and the return of the source are logged
    Given a gateway
    When the source is down
    And 2 seconds pass
    And the source is back
    And 2 seconds pass
    Then the log has a line "dependency_lost"
    And the log has a line "dependency_back"

  Scenario: every log line has the fields that docs/events.md lists
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When a caller sends GET "/notes/1"
    And the source is down
    And 2 seconds pass
    And the source is back
    And 2 seconds pass
    And the gateway is asked to stop
    Then every log line has the fields of its kind
    And docs/events.md matches the definitions

  Scenario: logging does not block while the log pipe is not read
    When 5000 lines are logged to a pipe that is not read
    Then logging did not block and the lines that did not fit were counted as dropped
    When the pipe is read again
    Then the kept lines are complete and in order

  Scenario: an unexpected exception while reading the source is logged, and reading continues
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway
    When the source raises an unexpected exception once
    And 5 seconds pass
    And the route "/notes/" is moved to "scans"
    And 3 seconds pass
    Then the newest table is in force
    And the log reports the exception

  Scenario: the memory used for a caller that does not read is limited
    Given an upstream "u1" of "notes" that answers with 400000 bytes
    And the route "/notes/" to "notes" with a timeout of 10 seconds
    And a gateway
    When a caller pipelines 12 requests for "/notes/1" and reads nothing for 3 seconds
    Then "u1" ran no more than 3 requests
    When the caller reads its replies
    Then it got 12 complete replies

  Scenario: a caller that reads nothing for the idle timeout is disconnected
    Given an upstream "u1" of "notes" that answers with 400000 bytes
    And the route "/notes/" to "notes"
    And a gateway
    When a caller pipelines 12 requests for "/notes/1" and reads nothing for 20 seconds
    Then the gateway has no caller connections

  Scenario: only one request fails when all open connections stop responding
    Given an upstream "u1" of "notes" that works for 0.1 seconds
    And the route "/notes/" to "notes"
    And a gateway
    When 4 requests for "/notes/1" are sent at 40 a second
    And the open connections of "u1" stop responding
    And 3 callers in turn send GET "/notes/1"
    Then 2 of the last 3 replies are 200

  Scenario: the log line of a timed-out request names its upstream
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And "u1" is silent
    And a gateway
    When a caller sends GET "/notes/1"
    Then the reply is 504
    And the log line of the last request has the detail "no answer in time from u1"

  Scenario: a reply to HEAD has no length that the upstream did not send
    Given an upstream "u1" of "notes" that answers with 400000 bytes
    And the route "/notes/" to "notes"
    And a gateway
    When a caller sends HEAD "/notes/1"
    Then the reply is 200
    And the reply has no Content-Length
