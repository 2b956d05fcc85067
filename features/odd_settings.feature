@sockets
Feature: Settings that are odd or unneeded stop no program

  # Guards against starts that fail on settings which the platform may write:
  # new fields, empty ones, and bytes that are no text.
  Scenario Outline: a gateway starts with settings that <oddity>
    Given a gateway process whose settings <oddity>
    Then the gateway process listens
    And it logs once that it ignores <ignored>

    Examples:
      | oddity                                   | ignored          |
      | begin with a byte order mark             | nothing          |
      | have the line ends of Windows            | nothing          |
      | have a field that is not text            | nothing          |
      | have a name that is not text             | nothing          |
      | have a field with NUL bytes              | nothing          |
      | have a line of a million bytes           | nothing          |
      | have a line without a value              | nothing          |
      | have optional fields that are empty      | nothing          |
      | have an unused field twice               | nothing          |
      | have optional fields that are not text   | limits.cores     |
      | have optional fields that are no numbers | limits.cpu_share |
      | have odd seeds                           | seeds            |
      | have an odd control address              | listen.control   |
      | have a field twice                       | bounds.grace_s   |
      | have a hundred odd zones                 | zones.odd-0      |

  Scenario Outline: an optional setting that cannot be used has its default: <field> <value>
    Given a settings file with the field "<field>" as "<value>"
    When the settings file is read
    Then the ignored settings name "<field> must be <bound>, not <value>"
    And the settings are those without "<field>"

    Examples:
      | field                 | value | bound         |
      | limits.cpu_share      | 0     | above 0       |
      | limits.cpu_share      | nan   | above 0       |
      | limits.cores          | -1    | above 0       |
      | limits.cores          | two   | a number      |
      | limits.link_mbps      | inf   | above 0       |
      | limits.link_mbps      | 1e300 | at most 1e+12 |
      | limits.memory_mb      | 0     | above 0       |
      | limits.memory_mb      | 300MB | a number      |
      | limits.max_fds        | 0     | above 0       |
      | limits.max_fds        | 200   | above 200     |
      | limits.max_fds        | many  | a number      |
      | bounds.warmup_overage | 0     | above 0       |
      | bounds.warmup_overage | nan   | above 0       |
      | bounds.warmup_slack   | -1    | at least 0    |
      | bounds.warmup_slack   | inf   | at least 0    |
      | bounds.quota_window_s | 0     | above 0       |
      | bounds.quota_overage  | -0.1  | at least 0    |
      | bounds.quota_slack    | nan   | at least 0    |

  Scenario Outline: an empty setting counts as not given: <field>
    Given a settings file with the field "<field>" as ""
    When the settings file is read
    Then no setting is ignored
    And the settings are those without "<field>"

    Examples:
      | field                 |
      | limits.cpu_share      |
      | limits.cores          |
      | limits.link_mbps      |
      | limits.memory_mb      |
      | limits.max_fds        |
      | bounds.warmup_overage |
      | bounds.quota_window_s |
      | listen.control        |
      | seeds                 |
      | zones.south-2         |

  Scenario: an empty setting does not replace one that is given
    Given a settings file with the field "limits.cores" as "2"
    And the line "limits.cores=" at its end
    When the settings file is read
    Then the host has 2 cores

  Scenario Outline: seeds that can be used are used: <seeds>
    Given a settings file with the field "seeds" as "<seeds>"
    When the settings file is read
    Then the seeds are <used>
    And the ignored settings name "<problem>"

    Examples:
      | seeds                                 | used        | problem                             |
      | nonsense,10.0.0.1:81                  | 10.0.0.1:81 | must be IP:port, not nonsense       |
      | 10.0.0.1:81,10.0.0.2:99999            | 10.0.0.1:81 | must be IP:port, not 10.0.0.2:99999 |
      | 10.0.0.1:81, 10.0.0.2:0 ,,10.0.0.3:-1 | 10.0.0.1:81 | must be IP:port, not 10.0.0.2:0     |
      | 10.0.0.300:81,10.0.0.1:81             | 10.0.0.1:81 | must be IP:port, not 10.0.0.300:81  |
      | [::1]:81, 10.0.0.1:81                 | 10.0.0.1:81 | must be IP:port, not [::1]:81       |
      | seed.example:81,10.0.0.1              | none        | must be IP:port, not seed.example   |

  Scenario Outline: a needed setting that cannot be used is named: <field> <value>
    Given a settings file with the field "<field>" as "<value>"
    When the settings file is read
    Then the problem is one line that names the file and "<field> <problem>"

    Examples:
      | field                     | value          | problem            |
      | node_name                 |                | is required        |
      | zone                      |                | is required        |
      | bounds.grace_s            |                | is required        |
      | bounds.grace_s            | nan            | must be above 0    |
      | bounds.grace_s            | 0              | must be above 0    |
      | bounds.retry_budget_ratio | inf            | must be at least 0 |
      | bounds.retry_budget_ratio | -1             | must be at least 0 |
      | bounds.retry_window_s     | 0              | must be above 0    |
      | bounds.retry_slack        | many           | must be a number   |
      | listen.front              | 10.0.0.1       | must be IP:port    |
      | listen.front              | 10.0.0.1:70000 | must be IP:port    |
      | listen.front              | 10.0.0.1:0     | must be IP:port    |
      | listen.ready              | :8105          | must be IP:port    |
      | listen.ready              | 10.0.0.1:8105x | must be IP:port    |
      | platform.address          | store:80       | must be IP:port    |
      | internal_ports            | 0,9            | must be a port     |
      | internal_ports            |                | is required        |

  Scenario: a needed setting that is not text is named
    Given a settings file with the field "node_name" as "front"
    And its bytes "=front" are "=fr\xff\xfe"
    When the settings file is read
    Then the problem is one line that names the file and "node_name must be text"

  Scenario Outline: a program whose settings are <kind> ends with a message
    Given the settings are <kind>
    When "<program>" is started with them
    Then it ends with code 2 and a message of one line that has "<problem>"

    Examples:
      | program                     | kind                     | problem            |
      | rudderrock.programs.gateway | a pipe                   | not a regular file |
      | rudderrock.programs.gateway | a folder                 | Is a directory     |
      | rudderrock.programs.gateway | a device without end     | not a regular file |
      | rudderrock.programs.gateway | 5 MB                     | File too large     |
      | rudderrock.programs.gateway | bytes that are no text   | is required        |
      | rudderrock.programs.gateway | empty                    | is required        |
      | rudderrock.programs.entry   | a pipe                   | not a regular file |
      | rudderrock.programs.entry   | a folder                 | Is a directory     |
      | rudderrock.programs.entry   | a device without end     | not a regular file |
      | rudderrock.programs.entry   | 5 MB                     | File too large     |
      | rudderrock.programs.entry   | bytes that are no text   | is not UTF-8       |
      | rudderrock.programs.entry   | nested too deeply        | nested too deeply  |
      | rudderrock.programs.entry   | a number of 9,000 digits | digits             |

  Scenario: the own settings may begin with a byte order mark
    When the settings file "examples/entry.toml" is read after a byte order mark
    Then it is accepted

  Scenario Outline: a secret that is <kind> is a message
    Given the settings are <kind>
    When a secret is read from their file
    Then the message is one line that has "<problem>"

    Examples:
      | kind                   | problem            |
      | a pipe                 | not a regular file |
      | a device without end   | not a regular file |
      | bytes that are no text | is not UTF-8       |

  Scenario: a build id that is not text is left out
    Given a folder whose build id is not text
    Then its build id is read as empty
