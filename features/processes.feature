@sockets
Feature: Invariants hold while entry processes are killed and frozen

  # The entry hosts run in processes of their own. The stand-ins run in the
  # test process so that their records can be read. No step asserts durations.

  Scenario: one host is killed, one frozen and resumed, and one shut down gracefully
    Given 4 entry hosts as processes in front of 6 services
    When callers send queries and commands to all hosts
    And host 1 is killed
    And host 2 is frozen for 10 seconds
    And host 3 receives SIGTERM and exits
    And the callers have finished
    Then every outcome agrees with the upstreams' records
    And no command ran twice and no refused command ran
    And host 3 has exited with code 0 and cut off no request
    And host 2 answers again
    When the key-value service is down and host 1 is started again
    Then host 1 answers with the state that its peers sent
