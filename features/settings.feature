Feature: Settings are validated and documented

  Scenario: the example file is valid
    When the settings file "examples/entry.toml" is read
    Then it is accepted

  Scenario Outline: the message for an invalid setting names it and what is allowed
    When the settings file "examples/entry.toml" is read with <change>
    Then it is rejected with a message that contains <words>

    Examples:
      | change                            | words                               |
      | hedging.budgt = 0.1               | hedging.budgt, did you mean, budget |
      | hedging.budget = 1.5              | hedging.budget, less than, 1.5      |
      | hedging.budget = "much"           | hedging.budget, number, much        |
      | host.callers = "localhost:80"     | host.callers, pattern, localhost    |
      | routing.choice = "best"           | routing.choice, best_of_two, best   |
      | membership.period_s = 0           | membership.period_s, greater, 0     |
      | hosts.id = "x"                    | hosts, did you mean, host           |

  Scenario: all errors are reported at once
    When the settings file "examples/entry.toml" is read with hedging.budget = 2
    And with drain.bound_s = -1 as well
    Then it is rejected with a message that contains hedging.budget, drain.bound_s

  Scenario: the settings reference matches the code
    Then "docs/settings.md" is up to date

  Scenario: the pages name every program, metric, event, exit code and refusal
    Then "docs/operators.md" names every program, metric, event and exit code
    And "docs/callers.md" names every refusal reason and every reason for a missing shard
