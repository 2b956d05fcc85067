Feature: The time line shows no effect before its cause

  Scenario Outline: hosts whose clocks differ by <skew> seconds
    Given host "a" whose clock is right
    And host "b" whose clock is <skew> seconds off
    When "a" records a cause and tells "b", which records an effect
    Then the effect comes after the cause in the merged order
    And the stamp of "b" is less than 61 seconds ahead of its clock

    Examples:
      | skew |
      | 0    |
      | 5    |
      | -5   |
      | -59  |

  Scenario: a clock that is far ahead does not drag the others along
    Given host "a" whose clock is 3600 seconds off
    And host "b" whose clock is right
    When "a" records a cause and tells "b", which records an effect
    Then the stamp of "b" is less than 1 second ahead of its clock

  Scenario: many events of one instant keep their order
    Given host "a" whose clock is right
    When "a" records 1000 events at one instant
    Then their stamps are all different and in order

  # On the monotonic clock the timer had not run, and ages, leases and wall
  # time were 7.5 s behind from then on.
  Scenario: a host that was suspended knows how long
    Given a loop as the programs have it, and a timer in 5 seconds
    When the machine is suspended for 7.5 seconds
    Then the timer has run
    And its clock says that 7.5 seconds have passed
    And its wall time is right
