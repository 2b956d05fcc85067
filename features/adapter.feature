Feature: The adapter speaks the users' platform's formats

  Scenario: a settings file is read, and unknown fields are left alone
    Given a settings file with the field "data_dir" as "/nowhere"
    When it is read
    Then the gateway's settings have host "front-1" in "north-1" of "north"
    And they listen at "10.0.0.1" on 8104, 8105 and for peers on 8107
    And extra requests are bounded by 0.2, 10 seconds and 54
    And the store is at "10.9.9.9" on 8102

  Scenario: hosts serve peers where the settings' seeds are
    Given a settings file with the field "listen.control" as "10.0.0.1:8106"
    When it is read
    Then they listen at "10.0.0.1" on 8104, 8105 and for peers on 8106
    And they name no seeds

  Scenario: seeds are read
    Given a settings file with the field "seeds" as "10.1.0.9:8106,10.2.0.21:8106"
    When it is read
    Then they name the seeds "10.1.0.9" and "10.2.0.21" on 8106

  Scenario Outline: a settings file that lacks something is refused: <field>
    Given a settings file without the field "<field>"
    When it is read
    Then the problem names "<field>"

    Examples:
      | field                     |
      | listen.front              |
      | zone                      |
      | platform.address          |
      | bounds.retry_budget_ratio |

  Scenario: a settings file with a bad number is refused
    Given a settings file with the field "bounds.grace_s" as "soon"
    When it is read
    Then the problem names "soon"

  Scenario Outline: the strength of a host is read: <share> of <cores>, <link> Mbit/s
    Given a settings file that says cpu_share <share>, cores <cores> and link_mbps <link>
    When it is read
    Then the host has <speed> cores, a link of <bytes> bytes a second and the capacity <capacity>

    Examples:
      | share | cores | link | speed | bytes    | capacity |
      | 0.5   | 3     | 100  | 1.5   | 12500000 | 150      |
      | 0.25  | 2     | none | 0.5   | 0        | 0.5      |

  Scenario Outline: a strength that can't be is refused: <field> <value>
    Given a settings file with the field "<field>" as "<value>"
    When it is read
    Then the problem names "<field> must be above 0, not <value>"

    Examples:
      | field            | value |
      | limits.cpu_share | 0     |
      | limits.cores     | -1    |
      | limits.link_mbps | inf   |

  Scenario: a settings file that is not there is refused
    When a settings file that is not there is read
    Then the problem names "No such file"

  Scenario: the kinds of routes are decoded
    Given a platform store
    And the operator writes version 7 with a gather, a split and an unsafe route
    When the source reads the table
    Then the table has version 7 and 3 routes
    And the gather has 3 shards, the greatest 5 and at least 0.75
    And the split is 3 to 1
    And the unsafe route runs once and times out after 6 seconds
    And an upstream accepts 26 connections

  Scenario: a route of a kind that is not known runs at most once
    Given a platform store
    And the operator writes a route of the kind "keyed"
    When the source reads the table
    Then its route runs once

  Scenario Outline: a configuration that can't be read is told as a problem: <what>
    Given a platform store
    And the operator writes <what>
    When the source reads the table
    Then the reading has a problem and no table

    Examples:
      | what                       |
      | what is not JSON           |
      | a route without a service  |
      | a configuration cut in two |

  Scenario: there is no configuration yet
    Given a platform store
    When the source reads the table
    Then there is no table and no problem

  Scenario: a watch tells of a new version at once
    Given a platform store
    And the operator writes version 7 with a gather, a split and an unsafe route
    When the source watches the table and version 9 is written after 0.5 seconds
    Then the watch brings version 9 after 0.5 seconds

  Scenario: a watch that brings nothing ends in time
    Given a platform store
    And the operator writes version 7 with a gather, a split and an unsafe route
    When the source watches the table for 2 seconds
    Then the watch brings nothing

  Scenario: a watch whose history is gone says so
    Given a platform store
    And the operator writes version 7 with a gather, a split and an unsafe route
    And the operator writes version 9 with a gather, a split and an unsafe route
    And the store drops its history
    When the source watches the table from revision 1
    Then the watch says that the history is gone

  Scenario: upstreams come from all pages
    Given a platform store with pages of 5
    And 12 servers are registered, 2 of them draining
    When the source lists the upstreams
    Then it finds 10 ready and 2 draining ones

  Scenario: an entry that can't be read costs only itself
    Given a platform store
    And 3 servers are registered, 0 of them draining
    And a server's entry is not JSON
    When the source lists the upstreams
    Then it finds 3 ready and 0 draining ones
    And one problem is told

  Scenario Outline: an entry of another writer names no upstream: <what>
    Given a platform store
    And 3 servers are registered, 0 of them draining
    And a server's entry has <what>
    When the source lists the upstreams
    Then it finds 3 ready and 0 draining ones
    And one problem is told

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

  Scenario: an entry may say when its upstream was born and how long it is cold
    Given a platform store
    And a server's entry has {"born": 1790000000123, "warmup_left_ms": 1500, "sequence": 7} in place
    When the source lists the upstreams
    Then the upstream was born at 1790000000123, is at sequence 7 and cold for 1.5 seconds

  Scenario: whatever an entry holds, it is an upstream or a problem
    Then 500 entries of any kind are decoded to an upstream or a problem

  Scenario: an odd entry is told once while it lasts
    Given a platform store
    And the operator writes version 7 with a gather, a split and an unsafe route
    And 3 servers are registered, 0 of them draining
    And a server's entry has no zone
    And a gateway over the store whose log is kept
    When 6 seconds pass
    Then the log has 1 line of the kind "entry_rejected"

  Scenario: regions and warm-up figures are read
    Given a platform store
    And the operator writes a route within "sierra" and "costa" whose service stands 4.5 a second for 3 seconds
    When the source reads the table
    Then the route is within "sierra" and "costa"
    And its service is cold for 3 seconds and stands 4.5 a second

  Scenario Outline: a warm-up that can't be is told as a problem: <figure> of <value>
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

  Scenario: evacuations are read where there is no table yet
    Given a platform store
    And the operator evacuates "north-1"
    When the source reads the table
    Then there is no table and no problem
    And the evacuated zones are "north-1"

  Scenario Outline: a watch tells of evacuations: <what>
    Given a platform store
    And the operator writes version 7 with a gather, a split and an unsafe route
    And the operator evacuates "north-1"
    When the operator <what> while the source watches
    Then the evacuated zones are "<zones>"

    Examples:
      | what                   | zones           |
      | evacuates "south-1"    | north-1,south-1 |
      | gives "north-1" back   |                 |

  Scenario: a watch passes over what operators write under other keys
    Given a platform store
    And the operator writes version 7 with a gather, a split and an unsafe route
    When the operator writes "op/other" while the source watches
    Then the watch brings no table, and the next one begins after it

  Scenario Outline: bounds of cold upstreams that can't be are refused: <field> <value>
    Given a settings file with the field "<field>" as "<value>"
    When it is read
    Then the problem names "<field> must"

    Examples:
      | field                  | value |
      | bounds.warmup_overage  | 0     |
      | bounds.warmup_overage  | nan   |
      | bounds.warmup_slack    | -1    |
      | bounds.warmup_slack    | inf   |

  Scenario: a host registers, renews and withdraws
    Given a platform store
    When a host registers for 3 seconds
    Then the store names 1 host
    When the registration is renewed each second for 6 seconds
    Then the store names 1 host
    When 4 seconds pass
    Then the store names 0 hosts
    And a renewal says that the lease has ended

  Scenario: a host that withdraws is gone at once
    Given a platform store
    When a host registers for 10 seconds
    And it withdraws
    Then the store names 0 hosts

  Scenario: a host's entry that can't be read hides no other
    Given a platform store
    And a host's entry is not JSON
    When a host registers for 10 seconds
    Then the store names 1 host

  Scenario Outline: a store that gives no answer is unavailable: <how>
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

  Scenario: a slow store is waited for
    Given a platform store
    And the operator writes version 7 with a gather, a split and an unsafe route
    And the store takes 0.3 seconds for an answer
    When the source reads the table
    Then the table has version 7 and 3 routes

  Scenario: a late reply to a call that was given up is nobody else's
    Given a platform store
    And the operator writes version 7 with a gather, a split and an unsafe route
    And the store takes 1.2 seconds for an answer
    When the source lists the upstreams
    Then it is unavailable within 1.1 seconds
    When the store takes 0 seconds for an answer
    And the source reads the table
    Then the table has version 7 and 3 routes

  Scenario: a gateway serves from the platform's store alone
    Given a platform store
    And the operator writes version 7 for a server that answers
    And a gateway over the store
    When a caller sends the platform's request
    Then it gets the server's answer with its stamp
    And the server was sent its own id and the time left

  Scenario: a gateway starts without the libraries that only others need
    When the gateway's program is loaded by itself
    Then it has not loaded "pydantic", "starlette", "aiosonic", "uvicorn" or "defopt"
