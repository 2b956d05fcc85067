@sockets
Feature: The log of a gateway tells why its process has ended

  # Guards against ends that leave no line: runs whose logs could not tell a
  # failed start from a killed process.
  Scenario: a planned stop names its signal
    Given a gateway process
    When the gateway process receives SIGTERM
    Then it ends with code 0
    And its "stopping" line has "cause" with "SIGTERM"
    And its last line is "stopped"

  Scenario: a start whose address is in use says so
    Given another program that listens on the port of a gateway's callers
    When the gateway process is started
    Then it ends with code 1
    And its "ended" line has "problem" with "address already in use"

  Scenario: a start with invalid settings says which
    Given a gateway process whose settings lack "zone"
    Then it ends with code 2
    And its "ended" line has "problem" with "zone is required"

  Scenario: a start that does not finish names its architecture and build
    Given a gateway process
    Then its "starting" line has "architecture" with the machine's

  Scenario Outline: growth towards <fraction> of the memory limit is logged
    Given a memory limit of 300 MB
    When the largest size of the process is <peak> MB
    Then <count> lines name the size and the limit

    Examples:
      | fraction | peak | count |
      | 0.3      | 100  | 0     |
      | 0.5      | 150  | 1     |
      | 0.95     | 290  | 1     |
