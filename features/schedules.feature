Feature: Every promise holds under random faults

  # `rudderrock-load fuzz` runs as many more as wanted. A seed that breaks a
  # promise gets an example of its own here.

  Scenario: 150 random schedules break no promise
    When the schedules of seeds 1 to 150 are run
    Then no promise was broken
    And answers, refusals, records and unknowns were all seen

  Scenario: 60 random schedules of edits and faults between hosts
    When the table schedules of seeds 1 to 60 are run
    Then no promise was broken

  Scenario: the checks see a host that goes back to an older table
    Given hosts now and then put the first table they had in force again
    When the table schedules of seeds 1 to 10 are run
    Then some promise was broken

  Scenario Outline: the checks see a promise that is broken: <fault>
    Given <fault>
    When the schedules of seeds 1 to 20 are run
    Then some promise was broken

    Examples:
      | fault                                  |
      | answers are accepted whosever they are |
      | commands are run without a claim       |
      | coverage counts what was asked for     |
