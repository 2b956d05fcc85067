@sockets
Feature: A crowd of connections leaves room for other work

  # Guards against a process without free descriptors: it reached neither its
  # upstreams nor its source, and answered no probe for a second at a time.
  Scenario Outline: callers are served beside a crowd of <kind>
    Given a gateway process with <descriptors> descriptors in front of an upstream
    When 600 connections arrive that are <kind>
    Then 40 new callers in a row are served, each within 2 seconds
    And all readiness probes meanwhile are answered by 200 within a second
    And the metrics are answered
    And the log has no sign that descriptors ran out

    Examples:
      | kind                     | descriptors |
      | idle                     | 256         |
      | idle                     | 1024        |
      | slow to send a head      | 256         |
      | slow to send a body      | 256         |
      | idle after a reply       | 256         |
      | idle at the probes' port | 256         |
      | idle at the metrics port | 256         |
      | idle at the peers' port  | 256         |
      | closed at once           | 256         |
      | unread, and sending more | 256         |

  Scenario: the platform's number of descriptors counts if it is lower
    Given a gateway process whose settings allow 456 descriptors
    When 600 connections arrive that are idle
    Then the process has at most 256 sockets
    And 40 new callers in a row are served, each within 2 seconds

  Scenario Outline: requests beyond the room of a process are refused unrun, <method>
    Given a gateway process with 256 descriptors in front of an upstream
    When 400 callers send a <method> request of 0.5 seconds at once
    Then all readiness probes meanwhile are answered by 200 within a second
    And each request is answered by 200 after one run, or refused without any
    And at least 40 requests are answered by 200
    And refusals say when to come back, and end their connection
    And the log has no sign that descriptors ran out

    Examples:
      | method |
      | GET    |
      | POST   |

  Scenario Outline: a crowd of one caller leaves the others theirs: <kind>
    Given a gateway process with 256 descriptors in front of an upstream
    And 20 callers of other addresses with a kept connection each
    When 600 connections arrive that are <kind>
    Then the kept connections are open and served
    And 5 new callers of another address are served, each within 2 seconds

    Examples:
      | kind                |
      | idle                |
      | slow to send a head |
      | waiting for a reply |

  Scenario: a shortage of connections is logged when it begins and when it ends
    Given a gateway process with 256 descriptors in front of an upstream
    When 600 connections arrive that are idle
    Then a "connections_limited" line has the state "full"
    When the crowd leaves
    Then a "connections_limited" line has the state "normal"
    And there are 2 such lines

  Scenario: a gateway keeps connections while there is room
    Given a gateway process with 1024 descriptors in front of an upstream
    When 200 connections arrive that are idle after a reply
    Then the connections of the crowd are open

  Scenario: idle connections to upstreams make way for others
    Given a gateway process with 256 descriptors in front of 300 services
    When a caller sends a request to each service in turn
    Then each of them is answered by 200
    And the process has at most 192 sockets
    And all readiness probes meanwhile are answered by 200 within a second
    And the log has no sign that descriptors ran out

  Scenario: a query wider than the room of a process leaves some for others
    Given a gateway process with 256 descriptors in front of 300 services
    When 3 callers send a query to all services at once
    Then all readiness probes meanwhile are answered by 200 within a second
    And a caller of one service is served within 2 seconds
    And the process has at most 192 sockets
    And the log has no sign that descriptors ran out
