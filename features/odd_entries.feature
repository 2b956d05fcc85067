Feature: Entries of another writer cost only themselves

  Whatever lies in the platform's store, a host leaves out what is invalid,
  logs it once, and follows the rest.

  # Guards against background work that fails on one entry at each reading: a
  # port out of range, a name for an address, or a deeply nested field.
  @sockets
  Scenario Outline: invalid entries under <prefix> stop no gateway process
    Given two gateway processes over a store
    When every kind of invalid entry is written under "<prefix>"
    And a third gateway process is started
    And an upstream and an evacuated zone are added to the store
    Then each gateway process learns of the three hosts, the upstream and the zone
    And no gateway process has ended or logged a traceback
    And each invalid entry under "<prefix>" is logged at most once by a process

    Examples:
      | prefix                 |
      | servers/               |
      | rudderrock/hosts/      |
      | rudderrock/quarantine/ |
      | op/evacuate/           |
      | op/config              |

  # Guards against a host that has no table although all others have one: the
  # first reader of the source asked nobody else.
  @sockets
  Scenario: a host that starts while the configuration is invalid gets the table of another
    Given two gateway processes over a store
    When an invalid configuration is written
    And a third gateway process is started
    Then the third gateway process is ready
    And no gateway process has ended or logged a traceback

  @sockets
  Scenario: hosts that all start over an invalid configuration use the next valid one
    Given three gateway processes that start over an invalid configuration
    When an upstream and an evacuated zone are added to the store
    Then each gateway process learns of the three hosts, the upstream and the zone
    And no gateway process has ended or logged a traceback

  # Guards against a host that stays out of the registry because its key has
  # been overwritten.
  @sockets
  Scenario: a host whose own entry is overwritten by an invalid one registers again
    Given two gateway processes over a store
    When the entry of host 1 is overwritten by one that is nested too deep
    Then the entry of host 1 is valid again within 20 seconds
    And no gateway process has ended or logged a traceback

  # Guards against a check that names one form of an invalid value and lets
  # others through.
  Scenario Outline: each invalid value under <prefix> is rejected with a short reason
    Then each invalid value under "<prefix>" is rejected and the valid one is not
    And 300 values of any kind under "<prefix>" are decoded or rejected

    Examples:
      | prefix                 |
      | servers/               |
      | rudderrock/hosts/      |
      | rudderrock/quarantine/ |
      | op/config              |

  Scenario Outline: a route with a <kind> may have a service of <service>
    Given a configuration whose route with a <kind> has a service of <service>
    Then the configuration is decoded

    Examples:
      | kind   | service |
      | split  | ""      |
      | split  | null    |
      | gather | ""      |

  # Guards against routes on which each request fails: a split without a weight
  # above 0 has no share to choose.
  Scenario: whatever table is decoded, a share of each split can be chosen
    Then 300 tables with odd weights are rejected or have a share above 0

  # Guards against a bad entry that one host has accepted and sends to others.
  Scenario: a host leaves out the invalid entries in the changes of a peer
    Given changes of a peer with an invalid and a valid entry of each kind
    When a host reads the changes
    Then it has the valid entries
    And the upstream with the invalid entry counts as removed
    And 3 problems name what was left out

  # Guards against ages and numbers that can be decoded but not used.
  Scenario Outline: changes of a peer with <field> of <value> are unreadable
    Given changes of a peer
    And their "<field>" is <value>
    Then the changes can't be decoded

    Examples:
      | field            | value   |
      | age_ms           | 10**400 |
      | revision         | 2**70   |
      | hops             | -1      |
      | number           | 2**64   |
      | hosts_generation | 10**30  |

  Scenario: changes of a peer that are nested too deep are unreadable
    Given changes of a peer that are nested too deep
    Then the changes can't be decoded

  # Guards against a small compressed reply of a peer that takes all memory.
  Scenario Outline: changes of a peer with <count> <entries> are unreadable
    Given compressed changes of a peer with <count> <entries>
    Then they can't be decoded, and that takes at most 200 MB

    Examples:
      | count    | entries         |
      | 1390000  | empty upstreams |
      | 1390000  | names that left |
      | 10000000 | empty upstreams |
      | 30000    | empty upstreams |

  # Guards against a host that is the only one of a zone it isn't in: it found
  # no first host of that zone at each reading.
  Scenario: an entry with a host's own name in another zone is left out
    Given a host "h1" in "north-1" whose name is registered in "south-1" as well
    Then the host ranks itself first in "north-1" and no host in "south-1"
    And the host counts 1 host and is not listed

  # Guards against a line for each of thousands of entries, or at each reading.
  Scenario: thousands of invalid entries take few log lines
    Given a log of rejected entries
    When 5000 invalid entries are read 3 times
    Then 21 lines are logged
    When one more invalid entry is read with them
    Then 22 lines are logged

  # Guards against an upstream that gets new work although its last entry, which
  # may have said that it leaves, can't be read.
  Scenario: an upstream whose entry becomes invalid leaves until it is valid again
    Given a directory over a store with a valid entry of an upstream
    When the entry is replaced by an invalid one
    Then the reading lacks the upstream and has 1 problem
    When the entry is valid again
    Then the reading has the upstream and no problem
