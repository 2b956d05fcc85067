Feature: What hosts agree on holds through outages and races

  Scenario: an edit is in force on every host within a second
    Given 7 hosts before 2 services
    When an operator sets "weight" of "desk" to 3
    Then it is in force on every host within 1 second

  Scenario: of two racing operators one wins and the other is told
    Given 2 hosts before 2 services
    And the team "desk"
    When two operators set "weight" of "desk" to 3 and to 7 at once
    Then one edit was accepted and the other saw the winner's row
    And it is in force on every host within 1 second

  Scenario: an edit whose reply is lost is reported truly and made once
    Given 2 hosts before 2 services
    And the team "desk"
    And the next 2 replies of the key-value service to writes are lost
    When an operator sets "weight" of "desk" to 3
    Then the edit stands once in the history
    And it is in force on every host within 1 second

  Scenario: an edit accepted just before an outage still reaches every host
    Given 5 hosts before 2 services
    And the team "desk"
    And hosts "h2, h3, h4, h5" are cut off from the key-value service
    When an operator sets "weight" of "desk" to 3
    And the key-value service goes down as soon as one host has it
    Then it is in force on every host within 3 seconds

  Scenario: a new host in an outage takes table and layout from its peers
    Given 3 hosts before 2 services
    And the team "desk"
    When the key-value service goes down
    And host "h9" is started
    And 5 seconds pass
    And "desk" asks host "h9"
    Then the answer covers 2 of 2 shards

  Scenario: a restored backup of the table takes nothing back
    Given 3 hosts before 2 services
    And the team "desk"
    When the table of the key-value service is put aside
    And an operator sets "weight" of "desk" to 3
    And it is in force on every host
    And the table that was put aside is restored
    And 5 seconds pass
    Then "weight" of "desk" is 3 on every host

  # The service comes back from a copy of before the last edit. The next edit is
  # made on the copy, so it gets the revision of the one that is lost; it was
  # accepted, and no host has it 5 s later. The lost one stays in force. Cause: a
  # table's revision orders edits only as long as the service keeps each of them.
  # Evidence: with the lost edit not made the same scenario passes.
  Scenario: an edit that follows a return of the key-value service from a copy is in force
    Given 3 hosts before 2 services
    And the team "desk"
    When 5 seconds pass
    And the key-value service is copied and 40 other keys are written
    And an operator sets "weight" of "desk" to 2
    And 1 second passes
    And the key-value service comes back from the copy after 1 second
    And an operator sets "weight" of "desk" to 3
    And 5 seconds pass
    Then "weight" of "desk" is 3 on every host

  Scenario: edits that a copy of the key-value service lacks are written again
    Given 3 hosts before 2 services
    And the team "desk"
    When 5 seconds pass
    And the key-value service is copied and 40 other keys are written
    And an operator sets "weight" of "desk" to 2
    And 1 second passes
    And the key-value service comes back from the copy after 1 second
    And 5 seconds pass
    Then the service has "weight" of "desk" at 2
    And one host has said "table_restored"

  Scenario: hosts whose tables part ways agree on all edits, whatever is lost when
    Then 300 runs of edits and copies of the table end with all edits that were accepted

  Scenario: a table with a bad row leaves the last good one in force
    Given 2 hosts before 2 services
    And the team "desk"
    When somebody writes a table with "weight" of "desk" at 5000
    And 2 seconds pass
    Then "weight" of "desk" is 1 on every host
    And every host has said "table_rejected"
    When "desk" asks host "h1"
    Then the answer covers 2 of 2 shards

  Scenario: a host that hears nobody stops taking work, and comes back
    Given 3 hosts before 2 services
    And the team "desk"
    When host "h2" is cut off from everything
    And 9 seconds pass
    And "desk" asks host "h2"
    Then the request is refused as "isolated"
    When host "h2" is joined again
    And 5 seconds pass
    And "desk" asks host "h2"
    Then the answer covers 2 of 2 shards

  Scenario: a host cut off from its peers alone goes on by the service
    Given 3 hosts before 2 services
    And the team "desk"
    When host "h2" is cut off from its peers
    And 30 seconds pass
    And "desk" asks host "h2"
    Then the answer covers 2 of 2 shards

  Scenario: queries go on through an hour without the service
    Given 2 hosts before 2 services
    And the team "desk" with
      | field     | value |
      | may_write | true  |
    When the key-value service goes down
    And 3600 seconds pass
    And "desk" asks host "h1"
    Then the answer covers 2 of 2 shards
    When "desk" sends a command to host "h1"
    Then the command is refused as "kv_unavailable"
    And no command has run
    When the key-value service comes back
    And 10 seconds pass
    And "desk" sends the same command to host "h2"
    Then the command ran once

  Scenario: a host paused past its lease knows it before it acts
    Given 3 hosts before 2 services
    And the team "desk"
    When host "h2" is paused
    And 20 seconds pass
    Then host "h2" does not believe in its lease
    When host "h2" goes on
    And "desk" asks host "h2"
    Then the request is refused as "isolated"
    When 10 seconds pass
    And "desk" asks host "h2"
    Then the answer covers 2 of 2 shards
    And host "h2" has said "lease_lapsed"

  Scenario: a planned stop cuts nothing, also of two hosts at once
    Given 4 hosts before 4 services
    And the team "desk" with
      | field      | value |
      | deadline_s | 5     |
    And the upstreams of shard "members-1" are 100 times slower
    When "desk" asks 10 times a second for 6 seconds, as a balancer does
    And 2 seconds pass
    And hosts "h2, h3" are stopped as planned
    And the load ends
    Then every answer covers all shards
    And hosts "h2, h3" have ended

  Scenario: a planned stop in an outage cuts nothing either
    Given 3 hosts before 4 services
    And the team "desk"
    When "desk" asks 10 times a second for 6 seconds, as a balancer does
    And the key-value service goes down
    And hosts "h2" are stopped as planned
    And the load ends
    Then every answer covers all shards
    And hosts "h2" have ended

  Scenario: a crashed host is noticed, and forgotten when all agree
    Given 4 hosts before 2 services
    When 3 seconds pass
    And host "h3" crashes
    And 12 seconds pass
    Then the others hold "h3" to have failed
    And the others share limits with 4 hosts
    When the platform's list drops "h3"
    And 60 seconds pass
    Then the others share limits with 3 hosts

  Scenario: lost messages alone make no host look failed
    Given 7 hosts before 2 services
    And 10 percent of messages between hosts are lost
    When 120 seconds pass
    Then no host is held to have failed

  Scenario: a team's limit holds over all hosts, however it is balanced
    Given 3 hosts before 2 services
    And the team "desk" with
      | field | value |
      | rate  | 40    |
    When "desk" asks 60 times a second for 20 seconds at "h1, h1, h1, h2"
    Then at most 115 percent of the rate 40 was admitted over 20 seconds
    And at least 70 percent of the rate 40 was admitted over 20 seconds

  Scenario: connections to an upstream stay below its limit
    Given 3 hosts before 4 services
    And the team "desk"
    When 3 seconds pass
    And host "h4" is started
    And host "h5" is started
    And 5 seconds pass
    And "desk" asks 40 times a second for 3 seconds
    Then no upstream ever had more connections than it allows
    And every answer covers all shards

  # Found by table schedules 2316, 3646 and 3915 as these were drawn then.
  Scenario: a host that is cancelled again while it closes leaves nothing open
    Given 1 host before 4 services
    When host "h1" is paused
    And host "h1" is cancelled, and again while it closes
    Then no upstream has a connection open

  Scenario: a key that has aged out is refused, and its claim is gone
    Given 3 hosts before 2 services with settings
      | setting               | value |
      | claims.retention_s    | 20    |
      | claims.clean_period_s | 5     |
    And the team "desk" with
      | field     | value |
      | may_write | true  |
    When "desk" sends a command to host "h1"
    Then the command ran once
    And claims are kept
    When "desk" sends the same command to host "h2"
    Then the command ran once
    When 90 seconds pass
    Then no claims are kept
    When "desk" sends the same command to host "h3"
    Then the command is refused as "key_expired"
    And the command ran once in all

  Scenario: commands are written in groups, below the rate allowed
    Given 3 hosts before 2 services with settings
      | setting              | value |
      | claims.writes_per_s  | 30    |
    And the team "desk" with
      | field      | value |
      | may_write  | true  |
      | deadline_s | 5     |
    When "desk" sends 100 commands a second for 5 seconds to all hosts
    Then all of the 500 commands ran once
    And the key-value service got at most 40 writes a second
