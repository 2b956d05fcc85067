@sockets
Feature: Promises hold over separate processes that are killed and frozen

  # Entry hosts are processes of their own here, the stand-ins are in this
  # one, so their records can be read. Nothing asserts how long things take.

  Scenario: one host is killed, one frozen and thawed, one stopped as planned
    Given 4 entry hosts as processes before 6 services
    When callers send queries and commands to all of them
    And host 1 is killed
    And host 2 is frozen for 10 seconds
    And host 3 is told to stop
    And the callers are done
    Then every answer tells the truth, by the upstreams' records
    And no command ran twice, and none that was refused ran
    And host 3 has exited with code 0 and cut nothing
    And host 2 answers again
    When the key-value service is down and host 1 is started again
    Then host 1 answers, with what its peers gave it
