Feature: Odd numbers in headers cost only the request that has them

  # Guards against a number of more digits than Python converts: the request
  # failed on an exception.
  @sockets
  Scenario Outline: a caller with a deadline of <deadline> is answered with <status>
    Given a gateway process with an upstream of one service
    When a caller sends a request with a deadline of "<deadline>"
    Then the caller is answered with <status>
    And the gateway process has logged no traceback

    Examples:
      | deadline  | status |
      | 5000      | 200    |
      | 9 x 5000  | 200    |
      | 9 x 30    | 200    |
      | 0 x 5000  | 503    |
      | -1        | 200    |
      | 1e3       | 200    |
      | 1_000     | 200    |
      |           | 200    |

  @sockets
  Scenario Outline: a peer with <header> of <value> is answered with <status>
    Given a gateway process with an upstream of one service
    When a peer sends a part of a query with "<header>" of "<value>"
    Then the caller is answered with <status>
    And the gateway process has logged no traceback

    Examples:
      | header                   | value    | status |
      | rudderrock-least         | 1        | 200    |
      | rudderrock-least         | x        | 503    |
      | rudderrock-least         | 9 x 5000 | 200    |
      | rudderrock-elapsed-ms    | 9 x 5000 | 200    |
      | rudderrock-elapsed-ms    | -5       | 200    |
      | rudderrock-table-version | 9 x 5000 | 503    |
      | rudderrock-table-version | x        | 503    |

  Scenario: any bytes are a number within bounds or none
    Then 1000 values of a header are a number that Python agrees with or none

  # Guards against a reply of another host that fails the caller's request on an
  # exception.
  Scenario Outline: another host says that <value> shards are missing
    Given 4 gateways in front of 60 shards, 2 of the gateways with a fast link
    And the gateways with a fast link say that "<value>" shards are missing
    When every gateway is asked for all shards
    Then every answer is complete
    And no request has failed on a defect

    Examples:
      | value    |
      | x        |
      | -1       |
      | 9 x 5000 |
