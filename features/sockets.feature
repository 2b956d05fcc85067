@sockets
Feature: Real connections return each answer to its own request

  # This upstream holds the answer to a cancelled request and sends it together
  # with the next answer, so that every answer to a cancelled request is late.

  Scenario: without both safeguards a late answer reaches the next request
    Given an upstream that answers late
    And connections are kept after unfinished exchanges
    And answers are not checked against their requests
    When 20 requests are cancelled, each followed by another
    Then some request received another request's answer

  Scenario: closing connections is sufficient to keep answers apart
    Given an upstream that answers late
    And answers are not checked against their requests
    When 20 requests are cancelled, each followed by another
    Then no request received another request's answer

  Scenario: checking request ids is sufficient to keep answers apart
    Given an upstream that answers late
    And connections are kept after unfinished exchanges
    When 20 requests are cancelled, each followed by another
    Then no request received another request's answer

  Scenario: answers that an upstream swaps are rejected
    Given an upstream that swaps answers
    When 20 requests are sent
    Then no request received another request's answer

Rule: Unauthorized and malformed requests are refused and run nothing

  Scenario Outline: an invalid request is refused with the matching status
    Given a host over sockets in front of 3 services
    When a caller sends a request that is <fault>
    Then the reply has status <status> and reports that nothing ran
    And no upstream has run a request

    Examples:
      | fault               | status |
      | without a token     | 401    |
      | with a wrong token  | 401    |
      | not JSON            | 400    |
      | of a wrong type     | 400    |
      | too large           | 413    |
      | to no such place    | 400    |
      | for no collection   | 404    |
      | slow in its body    | 408    |

  Scenario: a request head that takes too long is refused
    Given a host over sockets in front of 3 services
    When a caller sends part of a request head and waits
    Then the connection is closed with status 408

  Scenario: a request head that is too long is refused
    Given a host over sockets in front of 3 services
    When a caller sends a request head that is too long
    Then the connection is closed with status 431

  Scenario: a query over sockets is answered completely
    Given a host over sockets in front of 3 services
    When a caller sends a good query
    Then the reply covers all 3 shards

  # Guards also against a host that never finishes closing. The lanes of
  # connections that the upstreams closed wake up every 2 s and reconnect. A
  # cancellation was lost if closing began in the loop iteration in which a
  # lane had just connected; the lane then waited for its next attempt, and
  # closing waited for the lane. This happened in 1 of 47 runs, five at a time
  # beside 20 busy processes. The rule "Tasks and links can be cancelled while
  # they connect" shows the cause without load.
  Scenario: connections that the upstreams closed while idle cause no retries
    Given a host over sockets in front of 3 services
    And the upstreams close all idle connections
    When a caller sends a good query
    Then the reply covers all 3 shards
    And no request to an upstream was retried

  Scenario: control endpoints require the operator secret
    Given a host over sockets in front of 3 services
    When the metrics are read without the operator secret
    Then the reply has status 401 and reports that nothing ran
    And the metrics read with the operator secret contain "rudderrock_ready{} 1"

Rule: Tasks and links can be cancelled while they connect

  # Guards against connections and tasks that remain after a host has been
  # stopped or an upstream has been removed from the layout. A lane is
  # cancelled once. The cancellation was lost if it came between the end of
  # connecting and the loop iteration in which the lane resumed. Cancelling
  # after each number of iterations showed that all remaining tasks awaited
  # `open` > the client library's `acquire` > `asyncio.wait_for`, whose future
  # was done. CPython 3.11 then returns the future's result and drops the
  # cancellation. 1 to 4 of 1,025 tasks and 2 to 8 of 410 links remained.
  Scenario: a task that opens a connection can be cancelled in any loop iteration
    Given an upstream that keeps its connections
    When tasks that open connections are cancelled after 0 to 40 turns, 25 times
    Then every one of them has ended
    And the upstream has no connection left

  # The same fault in calls that need a new connection, to the key-value
  # service and to peers. A host whose lease or watch tasks were affected never
  # ended its task group and kept its lease.
  Scenario: a task that sends over a new connection can be cancelled in any loop iteration
    Given an upstream that keeps its connections
    When tasks that send over new connections are cancelled after 0 to 40 turns, 25 times
    Then every one of them has ended
    And the upstream has no connection left

  Scenario: a link can be closed in any loop iteration while its lanes connect
    Given an upstream that keeps its connections
    When links are closed after 0 to 40 turns of connecting, 10 times
    Then every one of them has ended
    And the upstream has no connection left
