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
