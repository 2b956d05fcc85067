Feature: Retries are spent where they help callers most

  # Guards against callers that are held for seconds until the budget of extra
  # requests is back, and against hosts that spend it in the same moment.
  Scenario: callers of an upstream that rejects 45 in 100 requests are not held for its budget
    Given 3 gateways, with a slack of 54 extra requests, in front of an upstream that rejects 45 in 100 requests
    When 2 callers of each gateway send a request at a time for 70 seconds
    Then they have sent at least 1500 requests
    And at least 95 in 100 of their passes were served
    And 99 in 100 of the replies took less than 1 second
    And no pass was issued twice, and none was refused and issued
    And the extra requests stay within the bound in each window

  # Guards against a wait that is no better for the caller than a refusal.
  Scenario Outline: a request to one service waits for the budget while that is worth it: <kind>, <wait> s
    When a <kind> attempt was rejected 0.05 seconds after its request arrived, with a goal of 0.6 seconds
    And the budget allows the next one in <wait> seconds
    Then the request is <decision>

    Examples:
      | kind     | wait | decision       |
      | first    | 0    | sent in 0.04 s |
      | first    | 0.05 | sent in 0.05 s |
      | first    | 0.06 | given up       |
      | returned | 0.5  | sent in 0.5 s  |
      | returned | 0.56 | given up       |
      | other    | 1.5  | sent in 1.5 s  |

  Scenario: repeats keep a pace once the budget is nearly used up
    Given a budget of 20 extra requests in 10 seconds
    When first repeats ask for 30 extra requests
    Then 19 are allowed
    When first repeats ask for 1 extra request
    Then 0 are allowed
    When returned repeats ask for 30 extra requests
    Then 1 are allowed
    When 9 seconds pass
    And returned repeats ask for 1 extra request
    Then 0 are allowed
    When 1.6 seconds pass
    And returned repeats ask for 30 extra requests
    Then 5 are allowed
    When 1 second passes
    And first repeats ask for 30 extra requests
    Then 0 are allowed
    And returned repeats ask for 30 extra requests
    And 2 are allowed
    When other calls ask for 30 extra requests
    Then 13 are allowed

  Scenario: a refused request is remembered once, for 10 seconds
    Given a memory of refused requests
    When the request "a" is refused
    Then "a" returns, and "b" does not
    And "a" does not return again
    When the request "a" is refused
    And 11 seconds pass
    Then "a" does not return again
    When 300 requests are refused
    Then "r0" does not return again
    And "r299" returns
