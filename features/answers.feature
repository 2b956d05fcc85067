Feature: Requests are answered, also late, as long as an answer is possible

  # Four in five upstreams reject six in ten requests, although they have room.
  # Three rejections in a row meet one shard in nine, so that hardly a query
  # had enough shards while a rejection counted as one of three attempts.
  Scenario: queries are answered in time while upstreams with room reject requests
    Given 60 shards of 3 replicas
    And the patient route "/all/" to all shards, at least 0.95 of them
    And 80 in 100 upstreams reject 60 in 100 requests
    And a gateway with a slack of 100 extra requests
    When 30 patient requests for "/all/1" are sent at 6 a second
    Then at least 29 replies are 200
    And at least 28 replies are 200 and took less than 0.2 seconds
    And no service got more than 0.2 extra requests per request plus 100 in any 10 seconds
    And no request ran at more than 3 upstreams of a shard

  Scenario: retries until the deadline stay within the budget of extra requests
    Given 20 shards of 3 replicas
    And the patient route "/all/" to all shards, at least 0.95 of them
    And 100 in 100 upstreams reject 60 in 100 requests
    And a gateway with a slack of 6 extra requests
    When the upstreams stop to reject requests after 5 seconds
    And 40 patient requests for "/all/1" are sent at 4 a second
    Then every one of the last 18 replies is 200 and took less than 0.2 seconds
    And no service got more than 0.2 extra requests per request plus 6 in any 10 seconds

  Scenario: a query is answered late when the upstreams of a shard are back
    Given 20 shards of 2 replicas
    And the patient route "/all/" to all shards, at least 1 of them
    And a gateway with a slack of 20 extra requests
    When every upstream of shard 3 rejects all requests for 0.6 seconds
    And a caller sends GET "/all/1" with a deadline of 2 seconds
    Then the reply is 200
    And it took less than 1.0 seconds

  # At most 32 queries of a host are retried after their latency goal.
  Scenario: the number of queries that are retried after their goal is limited
    Given 4 shards of 2 replicas
    And the patient route "/all/" to all shards, at least 1 of them
    And every upstream of shard 3 is shedding
    And a gateway with a slack of 4000 extra requests
    When 100 patient requests for "/all/1" are sent at 1000 a second
    Then at most 32 replies took more than 0.2 seconds
    And every reply is a 502

  Scenario: a request that may run once is retried while all upstreams reject it
    Given an upstream "u1" of "notes"
    And the patient route "/notes/" to "notes" that runs once
    And a gateway with a slack of 20 extra requests
    When every upstream rejects all requests for 0.6 seconds
    And a caller sends POST "/notes/1" with a deadline of 2 seconds
    Then the reply is 200
    And "u1" ran it once

  Scenario: a request is refused at once when no retry is possible before its deadline
    Given an upstream "u1" of "notes"
    And the patient route "/notes/" to "notes"
    And a gateway with a slack of 0 extra requests
    And "u1" is shedding
    When a caller sends GET "/notes/1" with a deadline of 2 seconds
    Then the reply is 503
    And the reply has a Retry-After of less than 1 second
    And it took less than 0.05 seconds

  # A route with a timeout of five goals.
  Scenario: a request is not retried for longer if its deadline is near its goal
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes"
    And a gateway with a slack of 20 extra requests
    And "u1" is shedding
    When a caller sends GET "/notes/1"
    Then the reply is 503
    And it took less than 0.1 seconds

  Scenario: a host that waits for its shards is not skipped for being late
    Given all hosts together have a slack of 100 extra requests
    And 4 gateways in front of 60 shards, 2 of the gateways with a fast link
    When the upstreams of 10 shards reject 100 in 100 requests for 1.0 seconds
    And a gateway with a slow link is asked for all shards
    Then every answer is 200
    And no gateway was skipped

  # The hosts of the second zone have the upstreams near, and their share of the
  # budget of extra requests is spent first.
  Scenario: shards that a part lacks are queried within the share of the host that asked for it
    Given all hosts together have a slack of 36 extra requests
    And 3 gateways in each of two regions in front of 20 shards of 3 replicas, 7 of them in the other region
    When the upstreams of 7 shards reject 60 in 100 requests for 20 seconds
    And the gateways of the first zone are asked for all shards 2 times a second for 6 seconds
    Then at least 11 of 12 answers are 200 and took less than 0.5 seconds

  # All hosts start while the source is away, and callers send their requests
  # twice at most.
  Scenario: a host without routes keeps the requests that have the time
    Given an upstream "u1" of "notes"
    And the patient route "/notes/" to "notes"
    And a gateway that starts while the source is down
    When the source is back after 1.0 seconds
    And 20 patient requests for "/notes/1" are sent at 20 a second
    Then at least 20 replies are 200

  Scenario: a kept request whose route allows less time is not sent any more
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes" with a timeout of 1 second
    And a gateway that starts while the source is down
    When the source is back after 2.0 seconds
    And 5 patient requests for "/notes/1" are sent at 20 a second
    Then every reply is a 503
    And no upstream ran anything

  Scenario: requests that came last are answered first when the routes are known
    Given an upstream "u1" of "notes"
    And the patient route "/notes/" to "notes"
    And a gateway that starts while the source is down
    When the source is back after 0.95 seconds
    And 20 patient requests for "/notes/1" are sent at 20 a second
    Then the last 5 of them were answered first

  Scenario: a host without routes refuses what it cannot keep at once
    Given an upstream "u1" of "notes"
    And the patient route "/notes/" to "notes"
    And a gateway that starts while the source is down
    When 400 patient requests for "/notes/1" are sent at 4000 a second, each with a key of its own
    Then 144 replies are 503 within 0.01 seconds, with a Retry-After between 0.5 and 2 seconds
    And every reply is 503 before its deadline

  Scenario: one sender cannot take all places of requests that wait for routes
    Given an upstream "u1" of "notes"
    And the patient route "/notes/" to "notes"
    And a gateway that starts while the source is down
    When the source is back after 1.0 seconds
    And 200 patient requests for "/notes/1" are sent at 4000 a second with one key
    And 100 patient requests for "/notes/1" are sent at 4000 a second, each with a key of its own
    Then 72 replies are 503 within 0.01 seconds, with a Retry-After between 0.5 and 2 seconds
    And at least 228 replies are 200

  Scenario: a host without routes that stops refuses the requests that it keeps
    Given an upstream "u1" of "notes"
    And the patient route "/notes/" to "notes"
    And a gateway that starts while the source is down
    When 5 patient requests for "/notes/1" are sent at 4000 a second with one key
    And the gateway is told to stop
    Then every reply is 503 within 0.1 seconds

  Scenario: a host that stops ends requests whose retries it cannot send any more
    Given an upstream "u1" of "notes"
    And the route "/notes/" to "notes" with a timeout of 20 seconds
    And every upstream is shedding
    And a gateway with a slack of 4000 extra requests
    When a caller sends a request for "/notes/1" that may take 20 seconds
    And 1 second passes
    And the gateway is told to stop
    Then every reply is 503 within 5 seconds

  Scenario Outline: a patient call, and another, after an attempt that was <failure>
    When of 2 attempts that may run, <runs> may have, and the last one was <failure>
    And <candidates> upstreams are left, and the budget allows an attempt in <wait> seconds of 2
    Then a patient call is <patient> and another one is <other>

    Examples:
      | failure      | runs | candidates | wait | patient            | other              |
      | rejected     | 0    | untried    | 0    | sent now           | sent now           |
      | rejected     | 0    | tried      | 0    | sent in 0.04 s     | sent in 0.04 s     |
      | rejected     | 0    | untried    | 0.5  | sent in 0.5 s      | given up           |
      | rejected     | 0    | untried    | 3    | given up           | given up           |
      | unreachable  | 0    | no         | 0    | sent in 0.04 s     | given up           |
      | may have run | 1    | untried    | 0    | sent now           | sent now           |
      | may have run | 1    | tried      | 0    | sent in 0.04 s     | given up           |
      | may have run | 2    | untried    | 0    | given up           | given up           |

  Scenario: late calls leave half of the budget to others, which leave them a tenth
    Given a budget of 20 extra requests in 10 seconds
    When late calls ask for 30 extra requests
    Then 10 are allowed
    When other calls ask for 30 extra requests
    Then 10 are allowed
    When 11 seconds pass
    And other calls ask for 15 extra requests
    And late calls ask for 30 extra requests
    Then 2 are allowed
    When other calls ask for 30 extra requests
    Then 3 are allowed
