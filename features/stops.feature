Feature: A host that stops ends what it has, and takes nothing that it can't end

  # Guards against requests that ran and were cut at the end of the grace time,
  # because they were taken with less time left than they needed.
  Scenario Outline: a planned stop cuts no request: <method> of <work> s at <rate> a second, <known>
    Given 4 upstreams of "notes" with 4 slots that work for <work> seconds
    And the route "/notes/" to "notes" with a timeout of 10 seconds <kind>
    And a gateway with a grace time of 6 seconds
    When <method> requests are sent at <rate> a second for <before> seconds
    And the gateway is stopped, and <method> requests are sent at <rate> a second for 6 seconds on kept connections
    Then no request that ran is without a reply
    And no request that was refused has run
    And at least <served> of the requests after the stop are answered
    And no request is answered by 504
    And the gateway ends within 6 seconds of the stop

    Examples:
      | method | work | rate | kind            | before | known                | served |
      | GET    | 0.05 | 12   | that runs again | 10     | with a known time    | 35     |
      | GET    | 2.5  | 4    | that runs again | 10     | with a known time    | 10     |
      | POST   | 2.5  | 4    | that runs once  | 10     | with a known time    | 10     |
      | GET    | 4    | 2.5  | that runs again | 20     | with a known time    | 3      |
      | POST   | 4    | 2.5  | that runs once  | 20     | with a known time    | 3      |

  # The same with upstreams that are full, so that requests wait for a slot, and
  # with a route of which the host knows nothing.
  Scenario Outline: a planned stop cuts no request whose time the host can't know: <method> of <work> s at <rate> a second
    Given 4 upstreams of "notes" with 4 slots that work for <work> seconds
    And the route "/notes/" to "notes" with a timeout of 10 seconds <kind>
    And a gateway with a grace time of 6 seconds
    When <method> requests are sent at <rate> a second for <before> seconds
    And the gateway is stopped, and <method> requests are sent at <rate> a second for 6 seconds on kept connections
    Then no request that ran is without a reply
    And no request that was refused has run
    And the gateway ends within 6 seconds of the stop

    Examples:
      | method | work | rate | kind            | before |
      | GET    | 2.5  | 12   | that runs again | 0      |
      | POST   | 2.5  | 12   | that runs once  | 0      |
      | POST   | 2.5  | 12   | that runs once  | 10     |
      | POST   | 4    | 2.5  | that runs once  | 0      |
      | GET    | 5.5  | 10   | that runs again | 10     |

  # Guards against requests in flight that are cut because their deadlines are
  # later than the end of the process.
  Scenario Outline: a request in flight at the end of a stop has a reply: <where>, <grace> s
    Given 1 upstreams of "notes" with <slots> slots that work for 300 seconds
    And the route "/notes/" to "notes" with a timeout of 200 seconds that runs once
    And a gateway with a grace time of <grace> seconds
    When <count> POST requests are in flight, and the gateway is stopped
    Then <count> requests are answered by <status>
    And no request that was refused has run
    And the gateway ends within <grace> seconds of the stop

    Examples:
      | where               | slots | count | status | grace |
      | at an upstream      | 4     | 3     | 504    | 6     |
      | at an upstream      | 4     | 3     | 504    | 60    |
      | at an upstream      | 4     | 3     | 504    | 1     |
      | at an upstream      | 4     | 3     | 504    | 0.5   |

  Scenario: a request that waits for a connection at the end of a stop is refused
    Given 1 upstreams of "notes" with 4 slots that work for 300 seconds
    And "notes" accepts 1 connections from all hosts
    And the route "/notes/" to "notes" with a timeout of 200 seconds that runs once
    And a gateway with a grace time of 6 seconds
    When 3 POST requests are in flight, and the gateway is stopped
    Then 1 requests are answered by 504
    And 2 requests are answered by 503
    And no request that was refused has run

  Scenario Outline: pipelined requests that were read before a stop are answered: <count>
    Given 4 upstreams of "notes" with 4 slots that work for <work> seconds
    And the route "/notes/" to "notes" with a timeout of 10 seconds that runs once
    And a gateway with a grace time of 6 seconds
    When a caller pipelines <count> POST requests and the gateway is stopped
    Then <count> replies come on its connection, the last with Connection: close
    And no request that was refused has run
    And the gateway ends within 6 seconds of the stop

    Examples:
      | count | work |
      | 3     | 0.5  |
      | 6     | 2.0  |

  Scenario Outline: a request whose body is sent slowly during a stop has a reply: <seconds> s
    Given 4 upstreams of "notes" with 4 slots that work for <work> seconds
    And the route "/notes/" to "notes" with a timeout of 10 seconds that runs once
    And a gateway with a grace time of 6 seconds
    When POST requests are sent at 1 a second for 8 seconds
    And the gateway is stopped, and the rest of a POST request comes after <seconds> seconds
    Then the request is answered by <status>
    And no request that was refused has run

    Examples:
      | seconds | work | status |
      | 2       | 0.5  | 200    |
      | 5.2     | 8    | 503    |
      | 20      | 8    | 503    |

  Scenario Outline: a reply that its caller reads slowly during a stop: after <seconds> s
    Given an upstream "u1" of "notes" that answers with 400000 bytes
    And the route "/notes/" to "notes" with a timeout of 10 seconds
    And a gateway with a grace time of 6 seconds
    When a caller pipelines 3 requests for "/notes/1" and reads nothing for 1 seconds
    And the gateway is stopped, and the caller reads on after <seconds> seconds
    Then its replies are <replies>
    And the line "stopped" has <unread>

    Examples:
      | seconds | replies    | unread          |
      | 4       | complete   | no unread bytes |
      | 30      | incomplete | unread bytes    |

  Scenario: a request whose handler does not end has a reply at the end of a stop
    Given 4 upstreams of "notes" with 4 slots that work for 0.1 seconds
    And the route "/notes/" to "notes"
    And a gateway with a grace time of 6 seconds
    When requests hang in the gateway
    And 2 POST requests are in flight, and the gateway is stopped
    Then 2 requests are answered by 503
    And the line "stopped" has 2 unanswered

  Scenario: a host that is asked to stop while it starts does not become ready
    Given 4 upstreams of "notes" with 4 slots that work for 0.1 seconds
    And the route "/notes/" to "notes"
    And a gateway that is asked to stop before it listens
    Then the gateway does not become ready
    And the gateway ends within 6 seconds of the stop

  Scenario: a source that does not answer does not delay a stop
    Given 1 upstreams of "notes" with 4 slots that work for 300 seconds
    And the route "/notes/" to "notes" with a timeout of 200 seconds that runs once
    And a gateway with a grace time of 6 seconds
    When calls for the registration hang
    And 3 POST requests are in flight, and the gateway is stopped
    Then 3 requests are answered by 504
    And the gateway ends within 6 seconds of the stop

  Scenario: a second request to stop changes nothing
    Given 4 upstreams of "notes" with 4 slots that work for 4 seconds
    And the route "/notes/" to "notes" with a timeout of 10 seconds that runs once
    And a gateway with a grace time of 6 seconds
    When 3 POST requests are in flight, and the gateway is stopped twice
    Then 3 requests are answered by 200
    And the gateway ends within 6 seconds of the stop

  Scenario Outline: wide queries in flight at a stop are answered: <which>
    Given 4 gateways in front of 60 shards that take 30 seconds per request, 2 of the gateways with a fast link
    When the gateways with <which> are stopped while they have queries
    Then every query has a reply that promises nothing false
    And the stopped gateways have ended within 6 seconds

    Examples:
      | which       |
      | a fast link |
      | a slow link |

  Scenario Outline: a request is taken only if it ends in time: <taken>, <since> s after the start of a stop of <grace> s
    When a request comes <since> seconds after the start of a stop of <grace> seconds
    And its route runs <kind>, is expected to take <expected> seconds, with a goal of <goal> and at most <limit>
    Then it is <taken>

    Examples:
      | grace | since | kind  | expected | goal | limit | taken   |
      | 6     | 0     | again | 2.5      | 0.5  | 10    | taken   |
      | 6     | 2.9   | again | 2.5      | 0.5  | 10    | taken   |
      | 6     | 3     | again | 2.5      | 0.5  | 10    | refused |
      | 6     | 1     | again | unknown  | 0.5  | 10    | taken   |
      | 6     | 1     | once  | unknown  | 0.5  | 10    | refused |
      | 6     | 1     | once  | unknown  | 0.5  | 4     | taken   |
      | 6     | 1     | once  | 2.5      | 0.5  | 10    | taken   |
      | 6     | 2.9   | again | unknown  | 3    | 10    | refused |
      | 6     | 3.1   | again | unknown  | 0.5  | 10    | refused |
      | 6     | 3.1   | again | unknown  | 0.5  | 2     | taken   |
      | 6     | 5.3   | again | 4        | 0.5  | 0.1   | taken   |
      | 6     | 5.5   | again | 0.01     | 0.5  | 1     | refused |
      | 60    | 40    | again | 4        | 0.5  | 10    | taken   |
      | 0.5   | 0     | again | 0.2      | 0.5  | 10    | taken   |
      | 0.5   | 0     | again | 1        | 0.5  | 10    | refused |

  Scenario Outline: the time that a route takes is learned: <case>
    When requests of a route have taken <times> seconds
    Then its expected time is between <least> and <most> seconds

    Examples:
      | case                         | times                | least | most |
      | one                          | 1                    | 1     | 4    |
      | a constant one               | 40 x 2.5             | 2.5   | 2.6  |
      | one that varies              | 20 x 0.1, 20 x 2     | 2     | 6    |
      | a slow one among many        | 1 x 4, 60 x 0.1      | 0.2   | 0.25 |
      | it has become slower         | 40 x 0.1, 10 x 3     | 3     | 9    |
      | given up after a short limit | 40 x 2, 40 x 0.1 cut | 2     | 2.2  |
      | given up after a long time   | 40 x 1, 10 x 6 cut   | 6     | 16   |

  # Guards against commands that an entry host takes while it leaves, and cuts
  # at the bound of the stop.
  Scenario Outline: an entry host that leaves takes only commands that end before its bound: <deadline> s
    Given 2 entry hosts with a lag of 1 s and a bound of 3 s, whose upstreams take <service> s
    When host "h1" is stopped, and is sent a command and a query with a deadline of <deadline> s
    Then the command is <command> and ran <runs> times
    And the query is <query>
    And the host has ended within 5 s

    Examples:
      | deadline | service | command                | runs | query                    |
      | 2        | 0.1     | recorded               | 1    | answered                 |
      | 20       | 0.1     | refused as draining    | 0    | answered                 |
      | 20       | 8       | refused as draining    | 0    | answered, with no shards |

  Scenario: requests in flight at the bound of an entry host have an outcome
    Given 2 entry hosts with a lag of 1 s and a bound of 3 s, whose upstreams take 20 s
    When host "h1" is sent a command and a query with a deadline of 20 s, and is stopped
    Then the command is unknown and ran 1 times
    And the query is unknown
    And the host has ended within 5 s

  @sockets
  Scenario Outline: of 3 gateway processes that are stopped in turn, none cuts a request: <method> of <work> s
    Given 3 gateway processes in front of 4 servers with 4 slots that work for <work> seconds, for requests that <kind>
    When callers send <method> requests at <rate> a second to each process on kept connections, and each gets SIGTERM in turn
    Then each process ends with code 0 and leaves no request unanswered
    And no request that ran is without a reply, and none that was refused has run
    And each request that runs once ran at most once

    Examples:
      | method | work | rate | kind      |
      | GET    | 2.5  | 1.6  | run again |
      | POST   | 2.5  | 1.6  | run once  |
      | POST   | 4    | 1    | run once  |
