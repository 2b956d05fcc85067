Feature: Values of another writer in the key-value service are rejected

  # Guards against a watcher that ends on a value that is nested too deep, and
  # against names that are found under others.
  Scenario Outline: a <kind> with <what> is rejected with a short reason
    Given a valid <kind> with its "<path>" replaced by <value>
    Then the <kind> is rejected

    Examples:
      | kind   | what                      | path                         | value                     |
      | table  | an odd field, nested      | odd                          | NESTED                    |
      | table  | a revision below 0        | revision                     | -1                        |
      | table  | a revision beyond 64 bits | revision                     | 99999999999999999999999   |
      | table  | a revision of 5000 digits | revision                     | DIGITS                    |
      | table  | a large name              | rows.t.team                  | LARGE                     |
      | table  | a row of another team     | rows.t.team                  | "other"                   |
      | table  | a weight of 0             | rows.t.weight                | 0                         |
      | table  | half a pair of surrogates | rows.t.team                  | "\ud800x"                 |
      | layout | an odd field, nested      | odd                          | NESTED                    |
      | layout | a revision below 0        | revision                     | -1                        |
      | layout | a revision beyond 64 bits | revision                     | 99999999999999999999999   |
      | layout | another upstream's name   | upstreams.u.upstream         | "other"                   |
      | layout | no slots                  | upstreams.u.slots            | 0                         |
      | layout | connections below 0       | upstreams.u.connections      | -5                        |
      | layout | connections beyond 64 bit | upstreams.u.connections      | 99999999999999999999999   |
      | layout | another collection's name | collections.c.collection     | "other"                   |
      | layout | a version without shards  | collections.c.placements     | [{"version":1,"shards":{}}] |
      | layout | an unknown upstream       | collections.c.placements     | [{"version":1,"shards":{"s":["x"]}}] |

  Scenario Outline: a valid <kind> is not rejected
    Given a valid <kind>
    Then the <kind> is decoded

    Examples:
      | kind   |
      | table  |
      | layout |

  # Guards against an address that is parsed outside of what is caught.
  Scenario Outline: a connection to an address of <address> fails with a reason
    When a connection is opened to "<address>"
    Then it fails with a reason

    Examples:
      | address       |
      | [::           |
      | 127.0.0.1:x   |
      | 127.0.0.1:-1  |
      | 127.0.0.1:99999 |

  # Guards against a list of hosts that one entry makes unreadable.
  @sockets
  Scenario: an invalid entry of the host list is left out
    Given a host list over HTTP with a valid entry and one without a zone
    When the list is read
    Then it has the valid entry and a problem

  Scenario: an invalid entry of the host list is recorded once while it lasts
    Given 1 host in front of 2 services
    And the host list has an invalid entry
    When 30 seconds pass
    Then exactly one host has recorded "hosts_rejected"

  Scenario Outline: a probe with <field> of <value> is rejected
    Given a probe of a peer with "<field>" replaced by <value>
    Then the probe can't be decoded

    Examples:
      | field                     | value                   |
      | digest.sender.incarnation | -1                      |
      | digest.sender.incarnation | 99999999999999999999999 |
      | digest.demands.0.rates.t  | -5                      |
      | digest.demands.0.rates.t  | 1e300                   |
      | digest.demands.0.count    | -1                      |
      | digest.table_age_s        | -1                      |
      | odd                       | NESTED                  |
