@sockets
Feature: Nothing from outside ends a gateway process, from its start to its end

  Background:
    Given a grace of 1 s for a planned stop

  # Guards against an address for metrics that decides about a start.
  Scenario: a start whose metrics address is in use serves callers
    Given another program that listens on the metrics port of a gateway
    When the gateway process is started
    Then it answers readiness probes
    And its "address_in_use" line has "purpose" with "metrics"
    When the other program ends
    Then its metrics are answered
    And it has a "address_bound" line
    And its "address_bound" line has "purpose" with "metrics"
    And it ends with code 0 after SIGTERM

  Scenario: a stop while the metrics address is in use is planned
    Given another program that listens on the metrics port of a gateway
    When the gateway process is started
    Then it answers readiness probes
    And it ends with code 0 after SIGTERM
    And its last line is "stopped"

  # Guards against a start that fails because the process before it still ends.
  Scenario Outline: a start waits for its <purpose> address while it is in use
    Given another program that listens on the <purpose> port of a gateway
    When the gateway process is started
    Then it has a "address_in_use" line
    When the other program ends
    Then it has a "address_bound" line
    And its "address_bound" line has "purpose" with "<purpose>"
    And it answers readiness probes
    And it ends with code 0 after SIGTERM

    Examples:
      | purpose   |
      | callers   |
      | readiness |
      | peers     |

  Scenario: a stop while the address of callers is in use is planned
    Given another program that listens on the callers port of a gateway
    When the gateway process is started
    Then it has a "address_in_use" line
    And it ends with code 0 after SIGTERM
    And its last line is "stopped"
