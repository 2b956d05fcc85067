Feature: Hosts keep their shared state consistent through outages and races

  Scenario: an edit is in force on every host within a second
    Given 7 hosts in front of 2 services
    When an operator sets "weight" of "desk" to 3
    Then it is in force on every host within 1 second

  Scenario: of two concurrent edits of a row one is accepted and the other is rejected
    Given 2 hosts in front of 2 services
    And the team "desk"
    When two operators set "weight" of "desk" to 3 and to 7 at once
    Then one edit was accepted and the other was rejected with the accepted row
    And it is in force on every host within 1 second

  Scenario: an edit whose reply is lost is reported as accepted and applied once
    Given 2 hosts in front of 2 services
    And the team "desk"
    And the next 2 replies of the key-value service to writes are lost
    When an operator sets "weight" of "desk" to 3
    Then the history contains the edit once
    And it is in force on every host within 1 second

  Scenario: an edit accepted just before an outage still reaches every host
    Given 5 hosts in front of 2 services
    And the team "desk"
    And hosts "h2, h3, h4, h5" are cut off from the key-value service
    When an operator sets "weight" of "desk" to 3
    And the key-value service goes down as soon as the edit is in force on one host
    Then it is in force on every host within 3 seconds

  Scenario: a host that starts during an outage gets table and layout from its peers
    Given 3 hosts in front of 2 services
    And the team "desk"
    When the key-value service goes down
    And host "h9" is started
    And 5 seconds pass
    And "desk" asks host "h9"
    Then the answer covers 2 of 2 shards

  Scenario: restoring a backup of the table reverts no edit
    Given 3 hosts in front of 2 services
    And the team "desk"
    When the table in the key-value service is backed up
    And an operator sets "weight" of "desk" to 3
    And it is in force on every host
    And the table is restored from the backup
    And 5 seconds pass
    Then "weight" of "desk" is 3 on every host

  # Guards against an accepted edit that never takes effect. The key-value
  # service is restored from a snapshot without the last edit. The next edit is
  # based on the snapshot and gets the revision of the lost one, because
  # revisions order edits only as long as the service keeps every edit. 5 s
  # later no host had the new edit and the lost one was still in force. Without
  # the lost edit the scenario passed.
  Scenario: an edit made after the key-value service was restored from a snapshot is in force
    Given 3 hosts in front of 2 services
    And the team "desk"
    When 5 seconds pass
    And a snapshot of the key-value service is taken and 40 other keys are written
    And an operator sets "weight" of "desk" to 2
    And 1 second passes
    And the key-value service is restored from the snapshot after an outage of 1 second
    And an operator sets "weight" of "desk" to 3
    And 5 seconds pass
    Then "weight" of "desk" is 3 on every host

  Scenario: edits that a restored snapshot lacks are written again
    Given 3 hosts in front of 2 services
    And the team "desk"
    When 5 seconds pass
    And a snapshot of the key-value service is taken and 40 other keys are written
    And an operator sets "weight" of "desk" to 2
    And 1 second passes
    And the key-value service is restored from the snapshot after an outage of 1 second
    And 5 seconds pass
    Then the key-value service stores "weight" of "desk" as 2
    And exactly one host has recorded "table_restored"

  Scenario: hosts with diverged tables agree on all accepted edits
    Then 300 random sequences of edits and restores of the table keep all accepted edits

  Scenario: a table with an invalid row leaves the last valid table in force
    Given 2 hosts in front of 2 services
    And the team "desk"
    When a table with "weight" of "desk" at 5000 is written directly to the key-value service
    And 2 seconds pass
    Then "weight" of "desk" is 1 on every host
    And every host has recorded "table_rejected"
    When "desk" asks host "h1"
    Then the answer covers 2 of 2 shards

  Scenario: an isolated host refuses work until it is reconnected
    Given 3 hosts in front of 2 services
    And the team "desk"
    When host "h2" is cut off from everything
    And 9 seconds pass
    And "desk" asks host "h2"
    Then the request is refused as "isolated"
    When host "h2" is reconnected
    And 5 seconds pass
    And "desk" asks host "h2"
    Then the answer covers 2 of 2 shards

  Scenario: a host cut off only from its peers keeps serving
    Given 3 hosts in front of 2 services
    And the team "desk"
    When host "h2" is cut off from its peers
    And 30 seconds pass
    And "desk" asks host "h2"
    Then the answer covers 2 of 2 shards

  Scenario: queries are answered during an hour without the key-value service
    Given 2 hosts in front of 2 services
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
    When the key-value service is available again
    And 10 seconds pass
    And "desk" sends the same command to host "h2"
    Then the command ran once

  Scenario: a host paused beyond its lease refuses work when it is resumed
    Given 3 hosts in front of 2 services
    And the team "desk"
    When host "h2" is paused
    And 20 seconds pass
    Then host "h2" does not hold its lease
    When host "h2" is resumed
    And "desk" asks host "h2"
    Then the request is refused as "isolated"
    When 10 seconds pass
    And "desk" asks host "h2"
    Then the answer covers 2 of 2 shards
    And host "h2" has recorded "lease_lapsed"

  Scenario: a graceful shutdown of two hosts at once cuts off no request
    Given 4 hosts in front of 4 services
    And the team "desk" with
      | field      | value |
      | deadline_s | 5     |
    And the upstreams of shard "members-1" are 100 times slower
    When "desk" asks 10 times a second for 6 seconds through a load balancer, in the background
    And 2 seconds pass
    And hosts "h2, h3" are shut down gracefully
    And the load ends
    Then every answer covers all shards
    And hosts "h2, h3" have stopped

  Scenario: a graceful shutdown during an outage cuts off no request
    Given 3 hosts in front of 4 services
    And the team "desk"
    When "desk" asks 10 times a second for 6 seconds through a load balancer, in the background
    And the key-value service goes down
    And hosts "h2" are shut down gracefully
    And the load ends
    Then every answer covers all shards
    And hosts "h2" have stopped

  Scenario: a crashed host is reported as failed, and removed once it is off the host list
    Given 4 hosts in front of 2 services
    When 3 seconds pass
    And host "h3" crashes
    And 12 seconds pass
    Then the other hosts report "h3" as failed
    And the other hosts share limits among 4 hosts
    When host "h3" is removed from the host list
    And 60 seconds pass
    Then the other hosts share limits among 3 hosts

  Scenario: lost messages alone do not mark a host as failed
    Given 7 hosts in front of 2 services
    And 10 percent of messages between hosts are lost
    When 120 seconds pass
    Then no host has been reported as failed

  Scenario: a team's rate limit holds over all hosts under uneven load
    Given 3 hosts in front of 2 services
    And the team "desk" with
      | field | value |
      | rate  | 40    |
    When "desk" asks 60 times a second for 20 seconds at "h1, h1, h1, h2"
    Then at most 115 percent of the rate 40 was admitted over 20 seconds
    And at least 70 percent of the rate 40 was admitted over 20 seconds

  Scenario: connections to an upstream stay within its limit
    Given 3 hosts in front of 4 services
    And the team "desk"
    When 3 seconds pass
    And host "h4" is started
    And host "h5" is started
    And 5 seconds pass
    And "desk" asks 40 times a second for 3 seconds
    Then no upstream ever had more connections than it allows
    And every answer covers all shards

  # Guards against connections left open by a second cancellation during
  # closing. Seeds 2316, 3646 and 3915 of an earlier generator of table
  # schedules showed the fault.
  Scenario: a host that is cancelled again while it closes leaves no connection open
    Given 1 host in front of 4 services
    When host "h1" is paused
    And the task of host "h1" is cancelled, and cancelled again while it closes
    Then no upstream has an open connection

  Scenario: an expired idempotency key is refused and its claim is deleted
    Given 3 hosts in front of 2 services with settings
      | setting               | value |
      | claims.retention_s    | 20    |
      | claims.clean_period_s | 5     |
    And the team "desk" with
      | field     | value |
      | may_write | true  |
    When "desk" sends a command to host "h1"
    Then the command ran once
    And claims are stored
    When "desk" sends the same command to host "h2"
    Then the command ran once
    When 90 seconds pass
    Then no claims are stored
    When "desk" sends the same command to host "h3"
    Then the command is refused as "key_expired"
    And the command ran once in total

  Scenario: commands are written in groups, within the write rate limit
    Given 3 hosts in front of 2 services with settings
      | setting              | value |
      | claims.writes_per_s  | 30    |
    And the team "desk" with
      | field      | value |
      | may_write  | true  |
      | deadline_s | 5     |
    When "desk" sends 100 commands a second for 5 seconds to all hosts
    Then all 500 commands ran once
    And the key-value service received at most 40 writes a second
