Feature: The adapter reads and writes the formats of the users' platform

  Scenario: a settings file is read, and unknown fields are ignored
    Given a settings file with the field "data_dir" as "/nowhere"
    When the settings file is read
    Then the gateway's settings have host "front-1" in "north-1" of "north"
    And the gateway listens at "10.0.0.1" on 8104, 8105 and for peers on 8107
    And extra requests have ratio 0.2, window 10 seconds and slack 54
    And the store is at "10.9.9.9" on 8102

  Scenario: hosts listen for peers on the control port if it is set
    Given a settings file with the field "listen.control" as "10.0.0.1:8106"
    When the settings file is read
    Then the gateway listens at "10.0.0.1" on 8104, 8105 and for peers on 8106
    And the settings name no seeds

  Scenario: seeds are read
    Given a settings file with the field "seeds" as "10.1.0.9:8106,10.2.0.21:8106"
    When the settings file is read
    Then the settings name the seeds "10.1.0.9" and "10.2.0.21" on 8106

  Scenario Outline: a settings file without a required field is rejected: <field>
    Given a settings file without the field "<field>"
    When the settings file is read
    Then the problem names "<field>"

    Examples:
      | field                     |
      | listen.front              |
      | zone                      |
      | platform.address          |
      | bounds.retry_budget_ratio |

  Scenario: a settings file with an invalid number is rejected
    Given a settings file with the field "bounds.grace_s" as "soon"
    When the settings file is read
    Then the problem names "soon"

  Scenario Outline: the CPU and link capacity of a host is read: <share> of <cores>, <link> Mbit/s
    Given a settings file with cpu_share <share>, cores <cores> and link_mbps <link>
    When the settings file is read
    Then the host has <speed> cores, a link of <bytes> bytes a second and the capacity <capacity>

    Examples:
      | share | cores | link | speed | bytes    | capacity |
      | 0.5   | 3     | 100  | 1.5   | 12500000 | 150      |
      | 0.25  | 2     | none | 0.5   | 0        | 0.5      |

  Scenario: a missing settings file is rejected
    When a missing settings file is read
    Then the problem names "No such file"

  Scenario: the kinds of routes are decoded
    Given a platform store
    And the operator writes version 7 with a gather, a split and an unsafe route
    When the source reads the table
    Then the table has version 7 and 3 routes
    And the gather has 3 shards, top_k 5 and min_coverage 0.75
    And the split is 3 to 1
    And the unsafe route runs once and times out after 6 seconds
    And an upstream accepts 26 connections

  Scenario: a route of an unknown kind runs at most once
    Given a platform store
    And the operator writes a route of the kind "keyed"
    When the source reads the table
    Then its route runs once

  Scenario Outline: an unreadable configuration is reported as a problem: <what>
    Given a platform store
    And the operator writes <what>
    When the source reads the table
    Then the reading has a problem and no table

    Examples:
      | what                       |
      | what is not JSON           |
      | a route without a service  |
      | a configuration cut in two |

  Scenario: a store without a configuration has neither a table nor a problem
    Given a platform store
    When the source reads the table
    Then there is no table and no problem

  Scenario: a watch returns a new version at once
    Given a platform store
    And the operator writes version 7 with a gather, a split and an unsafe route
    When the source watches the table and version 9 is written after 0.5 seconds
    Then the watch returns version 9 after 0.5 seconds

  Scenario: a watch without changes ends at its timeout
    Given a platform store
    And the operator writes version 7 with a gather, a split and an unsafe route
    When the source watches the table for 2 seconds
    Then the watch returns nothing

  Scenario: a watch of a compacted revision returns an error
    Given a platform store
    And the operator writes version 7 with a gather, a split and an unsafe route
    And the operator writes version 9 with a gather, a split and an unsafe route
    And the store compacts its history
    When the source watches the table from revision 1
    Then the watch reports that the history was compacted

  Scenario: upstreams are listed from all pages
    Given a platform store with pages of 5
    And 12 servers are registered, 2 of them draining
    When the source lists the upstreams
    Then it finds 10 ready and 2 draining ones

  Scenario: an unreadable entry does not affect the others
    Given a platform store
    And 3 servers are registered, 0 of them draining
    And a server's entry is not JSON
    When the source lists the upstreams
    Then it finds 3 ready and 0 draining ones
    And one problem is reported

  Scenario Outline: an invalid entry is reported as a problem: <what>
    Given a platform store
    And 3 servers are registered, 0 of them draining
    And a server's entry has <what>
    When the source lists the upstreams
    Then it finds 3 ready and 0 draining ones
    And one problem is reported

    Examples:
      | what                                   |
      | no service                             |
      | no address                             |
      | no zone                                |
      | no version                             |
      | no slots                               |
      | no state                               |
      | no warmup_left_ms                      |
      | no sequence                            |
      | {"state": "resting"} in place          |
      | {"slots": "two"} in place              |
      | {"sequence": 1.5} in place             |
      | {"sequence": 1e400} in place           |
      | {"sequence": -1} in place              |
      | {"born": "now"} in place               |
      | {"born": -1} in place                  |
      | {"born": 1.5} in place                 |
      | {"warmup_left_ms": -1} in place        |
      | {"address": "nowhere"} in place        |
      | {"address": 7} in place                |
      | {"zone": null} in place                |
      | an unknown field nested too deep       |
      | bytes that are not text                |
      | a value that is not base64             |

  Scenario: an entry may contain the start time and warm-up of its upstream
    Given a platform store
    And a server's entry has {"born": 1790000000123, "warmup_left_ms": 1500, "sequence": 7} in place
    When the source lists the upstreams
    Then the upstream was born at 1790000000123, has sequence 7 and is cold for 1.5 seconds

  Scenario: any entry is decoded to an upstream or a problem
    Then 500 entries of any kind are decoded to an upstream or a problem

  Scenario: an invalid entry is logged once while it exists
    Given a platform store
    And the operator writes version 7 with a gather, a split and an unsafe route
    And 3 servers are registered, 0 of them draining
    And a server's entry has no zone
    And a gateway over the store with a recorded log
    When 6 seconds pass
    Then the log has 1 line of the kind "entry_rejected"

  Scenario: regions and warm-up limits are read
    Given a platform store
    And the operator writes a route within "sierra" and "costa" whose cold upstreams accept 4.5 requests a second for 3 seconds
    When the source reads the table
    Then the route is within "sierra" and "costa"
    And its service's upstreams are cold for 3 seconds and accept 4.5 requests a second

  Scenario Outline: an invalid warm-up is reported as a problem: <figure> of <value>
    Given a platform store
    And the operator writes a service with <figure> of <value>
    When the source reads the table
    Then the reading has a problem and no table

    Examples:
      | figure       | value |
      | warmup_s     | -1    |
      | warmup_per_s | -0.5  |
      | warmup_per_s | 1e999 |

  Scenario: evacuations are read with the table
    Given a platform store
    And the operator writes version 7 with a gather, a split and an unsafe route
    And the operator evacuates "north-1"
    When the source reads the table
    Then the table has version 7 and 3 routes
    And the evacuated zones are "north-1"

  Scenario: evacuations are read without a table
    Given a platform store
    And the operator evacuates "north-1"
    When the source reads the table
    Then there is no table and no problem
    And the evacuated zones are "north-1"

  Scenario Outline: a watch returns evacuations: <what>
    Given a platform store
    And the operator writes version 7 with a gather, a split and an unsafe route
    And the operator evacuates "north-1"
    When the operator <what> while the source watches
    Then the evacuated zones are "<zones>"

    Examples:
      | what                   | zones           |
      | evacuates "south-1"    | north-1,south-1 |
      | gives "north-1" back   |                 |

  Scenario: a watch ignores what operators write under other keys
    Given a platform store
    And the operator writes version 7 with a gather, a split and an unsafe route
    When the operator writes "op/other" while the source watches
    Then the watch returns no table and a position after the write

  Scenario: a registration lasts while its lease is renewed
    Given a platform store
    When a host registers for 3 seconds
    Then the store lists 1 host
    When the registration is renewed each second for 6 seconds
    Then the store lists 1 host
    When 4 seconds pass
    Then the store lists 0 hosts
    And a renewal reports that the lease has ended

  Scenario: the entry of a host that withdraws is removed at once
    Given a platform store
    When a host registers for 10 seconds
    And the host withdraws
    Then the store lists 0 hosts

  Scenario: an unreadable host entry does not affect the others
    Given a platform store
    And a host's entry is not JSON
    When a host registers for 10 seconds
    Then the store lists 1 host

  Scenario: saved quarantine records are read back, also beside an unreadable one
    Given a platform store with pages of 2
    And a quarantine record is not JSON
    When the source saves the quarantine records of 5 requests
    And the source removes the quarantine records of 2 of them
    Then the source reads back the quarantine records of the other 3

  # `busy` replies with status 503, `many` with 429, `reset` closes the
  # connection, and `silent` sends no reply.
  Scenario Outline: a store that refuses calls or sends no reply is unavailable: <how>
    Given a platform store
    And the store is <how>
    When the source reads the table
    Then it is unavailable within 1.1 seconds

    Examples:
      | how    |
      | busy   |
      | many   |
      | reset  |
      | silent |

  Scenario: a slow reply of the store is awaited
    Given a platform store
    And the operator writes version 7 with a gather, a split and an unsafe route
    And the store takes 0.3 seconds for a reply
    When the source reads the table
    Then the table has version 7 and 3 routes

  Scenario: a late reply to an abandoned call is not used for another call
    Given a platform store
    And the operator writes version 7 with a gather, a split and an unsafe route
    And the store takes 1.2 seconds for a reply
    When the source lists the upstreams
    Then it is unavailable within 1.1 seconds
    When the store takes 0 seconds for a reply
    And the source reads the table
    Then the table has version 7 and 3 routes

  Scenario: a gateway needs only the platform's store to serve requests
    Given a platform store
    And the operator writes version 7 with a route to a running server
    And a gateway over the store
    When a caller sends the platform's request
    Then it gets the server's reply with its stamp
    And the server was sent its own id and the remaining time

  Scenario: the gateway does not import libraries that only other programs need
    When the gateway's program is imported by itself
    Then it has not imported "pydantic", "starlette", "aiosonic", "uvicorn" or "defopt"
