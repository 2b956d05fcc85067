Feature: The time line shows causes before their effects

  Scenario Outline: hosts whose clocks differ by <skew> seconds
    Given host "a" whose clock is accurate
    And host "b" whose clock is <skew> seconds off
    When "a" records a cause and sends its stamp to "b", which records an effect
    Then the effect comes after the cause in the merged order
    And the stamp of "b" is less than 61 seconds ahead of its clock

    Examples:
      | skew |
      | 0    |
      | 5    |
      | -5   |
      | -59  |

  Scenario: a clock that is far ahead does not advance the stamps of other hosts
    Given host "a" whose clock is 3600 seconds off
    And host "b" whose clock is accurate
    When "a" records a cause and sends its stamp to "b", which records an effect
    Then the stamp of "b" is less than 1 second ahead of its clock

  Scenario: events of the same instant keep their order
    Given host "a" whose clock is accurate
    When "a" records 1000 events at the same instant
    Then their stamps are unique and in order

  # Guards against a loop clock that stops during a suspension: on the
  # monotonic clock the timer did not run, and ages, leases and wall time
  # stayed 7.5 s behind.
  Scenario: the clock of a host includes the time for which it was suspended
    Given the programs' event loop and a timer due in 5 seconds
    When the machine is suspended for 7.5 seconds
    Then the timer has run
    And the loop's clock has advanced by 7.5 seconds
    And the loop's wall time is correct
