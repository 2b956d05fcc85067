Feature: Invariants hold under random faults

  # `rudderrock-load fuzz` runs further seeds. A seed that violates an
  # invariant is added here as an example.

  Scenario: 150 random fault schedules violate no invariant
    When the schedules of seeds 1 to 150 are run
    Then no invariant was violated
    And answered, refused, recorded and unknown outcomes all occurred

  Scenario: 60 random schedules of table edits and host faults violate no invariant
    When the table schedules of seeds 1 to 60 are run
    Then no invariant was violated

  Scenario: the checks detect a host that reverts to an older table
    Given hosts sometimes revert to the first table that they applied
    When the table schedules of seeds 1 to 10 are run
    Then some invariant was violated

  Scenario Outline: the checks detect a violated invariant: <fault>
    Given <fault>
    When the schedules of seeds 1 to 20 are run
    Then some invariant was violated

    Examples:
      | fault                                  |
      | answers are accepted whosever they are |
      | commands are run without a claim       |
      | coverage counts what was asked for     |
