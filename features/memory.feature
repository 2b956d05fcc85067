@sockets
Feature: What a gateway holds for others is bounded in sum

  # Guards against a sum of replies that are each within bounds.
  Scenario Outline: replies of <form> leave the process below its limit
    Given a gateway process with a memory limit of 300 MB
    When <count> requests at once go to upstreams that reply with <form>
    Then every other request meanwhile is answered by 200
    And no request has run more than twice
    And the process has stayed below its memory limit

    Examples:
      | count | form                      |
      | 60    | bodies until the close    |
      | 60    | chunks without end        |
      | 60    | lengths far too large     |
      | 60    | bodies that stop short    |
      | 600   | header lines that stop    |
      | 900   | header values that stop   |

  # Guards against repeating what must run once when its reply is given up.
  Scenario: a request that may run once is not repeated without its reply
    Given a gateway process with a memory limit of 300 MB
    When 60 requests run once go to upstreams that reply with chunks without end
    Then every other request meanwhile is answered by 200
    And no request has run more than once
    And the process has stayed below its memory limit

  # Guards against replies that are kept until their callers read them.
  Scenario: large replies to callers that do not read are bounded in sum
    Given a gateway process with a memory limit of 300 MB
    When 60 callers that do not read request large whole replies
    Then every other request meanwhile is answered by 200
    And the process has stayed below its memory limit

  # Guards against whole parts that are kept until the last one has come.
  Scenario: large parts of wide queries are bounded in sum
    Given a gateway process with a memory limit of 300 MB
    When 16 queries in turn go to 4 shards of which one does not answer
    Then every other request meanwhile is answered by 200
    And every query is answered with the greatest records
    And the process has stayed below its memory limit

  # Guards against entries of other writers that are kept until all are read.
  Scenario Outline: large entries under <prefix> are not kept
    Given a gateway process with a memory limit of 300 MB
    When another writer leaves 250 entries of 1 MB under "<prefix>"
    Then every other request meanwhile is answered by 200
    And the process has stayed below its memory limit

    Examples:
      | prefix                 |
      | servers/               |
      | rudderrock/hosts/      |
      | rudderrock/quarantine/ |

  # Guards against a greedy team that gets the replies of others dropped.
  Scenario: the owner that holds most loses its largest holding
    Given a byte budget of 100000 bytes
    When "greedy" holds 30000, 50000 and 15000 bytes
    And "modest" holds 4000 and 8000 bytes
    Then "greedy" has lost its holdings of 50000 bytes
    And "modest" has lost nothing

  Scenario: an owner that has pinned what it may leaves room for others
    Given a byte budget of 100000 bytes
    When "greedy" pins as many holdings of 5000 bytes as it can
    And "modest" pins as many holdings of 1000 bytes as it can
    Then "greedy" has pinned between 20000 and 40000 bytes
    And "modest" has pinned between 5000 and 40000 bytes

  Scenario: a holding that nothing refers to is not counted
    Given a byte budget of 100000 bytes
    When "greedy" holds 30000, 50000 and 15000 bytes
    And the holdings of "greedy" are dropped
    Then 0 bytes are held

  # Guards against a sum of requests that are each within bounds.
  Scenario Outline: requests with <form> leave the process below its limit
    Given a gateway process with a memory limit of 300 MB
    When 150 callers send requests with <form>
    Then every other request meanwhile is answered by 200
    And no refused request has run
    And the process has stayed below its memory limit

    Examples:
      | form                          |
      | bodies that stop short        |
      | whole bodies, not answered    |
      | whole bodies, not read        |
      | pipelined bodies              |
