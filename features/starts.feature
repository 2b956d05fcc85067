@sockets
Feature: Nothing from outside ends a gateway process, from its start to its end

  Background:
    Given a grace of 1 s for a planned stop

  # Guards against signals that end a process without a line, because their
  # handlers are installed after the imports.
  Scenario Outline: <signal> during the imports does not end a process by the signal
    Given a gateway process that is importing its modules
    When the gateway process receives <signal>
    And its imports go on
    Then it answers readiness probes
    And it ends with code 0 after SIGTERM
    And its last line is "stopped"

    Examples:
      | signal  |
      | SIGHUP  |
      | SIGUSR1 |
      | SIGUSR2 |
      | SIGALRM |
      | SIGPIPE |

  Scenario Outline: <signal> during the imports is a planned stop
    Given a gateway process that is importing its modules
    When the gateway process receives <first>
    And the gateway process receives <signal>
    And its imports go on
    Then it ends with code 0
    And its "stopping" line has "cause" with "<signal>"
    And its last line is "stopped"

    Examples:
      | first  | signal  |
      | SIGHUP | SIGTERM |
      | SIGHUP | SIGINT  |

  # Guards against the default action of signals after the loop is closed.
  Scenario Outline: a storm of <signal> through a planned stop does not change its code
    Given a gateway process
    When it receives SIGTERM, and <signal> again and again until it has ended
    Then it ends with code 0
    And its last line is "stopped"

    Examples:
      | signal  |
      | SIGHUP  |
      | SIGTERM |
      | SIGINT  |
      | SIGUSR1 |

  Scenario: a storm of SIGHUP is answered by few checks of the settings
    Given a gateway process
    When it receives 300 SIGHUP, one every 2 ms
    Then it has logged at most one check of the settings a second
    And it ends with code 0 after SIGTERM

  # Guards against signals lost when the pipe that wakes the loop is full.
  Scenario: SIGTERM after a storm of SIGHUP in a blocked loop is not lost
    Given a gateway process whose loop is blocked after it has started
    When it receives 2000 SIGHUP and SIGTERM before its loop goes on
    Then it ends with code 0
    And its "stopping" line has "cause" with "SIGTERM"

  # Guards against a reload that blocks serving or ends the process.
  Scenario Outline: SIGHUP while the settings file is <state> leaves it serving
    Given a gateway process
    When its settings file is <state>
    And the gateway process receives SIGHUP
    Then its "reloaded" line names a problem
    And it answers readiness probes
    And it ends with code 0 after SIGTERM

    Examples:
      | state        |
      | missing      |
      | half written |
      | a directory  |
      | a FIFO       |
      | huge         |

  Scenario: SIGHUP while the settings file is not UTF-8 leaves it serving
    Given a gateway process
    When its settings file is not UTF-8
    And the gateway process receives SIGHUP
    Then it has a "reloaded" line
    And it answers readiness probes
    And it ends with code 0 after SIGTERM

  Scenario: a start whose settings file is a FIFO says so
    Given a gateway process whose settings file is a FIFO
    Then it ends with code 2
    And its "ended" line has "problem" with "not a regular file"

  # Guards against an address for metrics that decides about a start.
  Scenario: a start whose metrics address is in use serves callers
    Given another program that listens on the metrics port of a gateway
    When the gateway process is started
    Then it answers readiness probes
    And its "address_in_use" line has "purpose" with "metrics"
    When the other program ends
    Then its metrics are answered
    And it has a "address_bound" line
    And its "address_bound" line has "purpose" with "metrics"
    And it ends with code 0 after SIGTERM

  Scenario: a stop while the metrics address is in use is planned
    Given another program that listens on the metrics port of a gateway
    When the gateway process is started
    Then it answers readiness probes
    And it ends with code 0 after SIGTERM
    And its last line is "stopped"

  # Guards against a start that fails because the process before it still ends.
  Scenario Outline: a start waits for its <purpose> address while it is in use
    Given another program that listens on the <purpose> port of a gateway
    When the gateway process is started
    Then it has a "address_in_use" line
    When the other program ends
    Then it has a "address_bound" line
    And its "address_bound" line has "purpose" with "<purpose>"
    And it answers readiness probes
    And it ends with code 0 after SIGTERM

    Examples:
      | purpose   |
      | callers   |
      | readiness |
      | peers     |

  Scenario: a stop while the address of callers is in use is planned
    Given another program that listens on the callers port of a gateway
    When the gateway process is started
    Then it has a "address_in_use" line
    And it ends with code 0 after SIGTERM
    And its last line is "stopped"

  # Guards against sockets in the place of the standard streams, into which
  # log lines would be written.
  Scenario Outline: a gateway runs with descriptors <closed> closed at its start
    Given a gateway process whose descriptors <closed> are closed
    Then it answers readiness probes
    And none of its descriptors 0, 1 and 2 is a socket or closed
    And it ends with code 0 after SIGTERM

    Examples:
      | closed  |
      | 0       |
      | 1       |
      | 2       |
      | 0, 1    |
      | 0, 2    |
      | 1, 2    |
      | 0, 1, 2 |

  Scenario: log lines that go nowhere are counted
    Given a gateway process whose descriptors 1 are closed
    Then it answers readiness probes
    And its metrics count log lines that were not written

  Scenario Outline: invalid settings end a start with code 2 with descriptors <closed> closed
    Given a gateway process without "zone" and with descriptors <closed> closed
    Then it ends with code 2

    Examples:
      | closed  |
      | 1       |
      | 2       |
      | 0, 1, 2 |

  # Guards against ends that leave only a traceback or nothing.
  Scenario Outline: a start without the library <library> names it and the machine
    Given a gateway process whose library <library> is missing
    Then it ends with code 1
    And its "ended" line has "problem" with "<library>"
    And its "ended" line has "problem" with the machine's

    Examples:
      | library   |
      | xxhash    |
      | msgspec   |
      | httptools |

  Scenario Outline: a process that ends on <defect> says so
    Given a gateway process with <defect>
    Then it ends with code 1
    And its "ended" line has "problem" with "<text>"

    Examples:
      | defect                        | text        |
      | a defect in the composition   | TypeError   |
      | too little memory             | MemoryError |
      | an end without a cause        | no signal   |
      | a cancelled main task         | Cancelled   |
      | a defect outside of the loop  | OSError     |

  Scenario Outline: a gateway with <defect> lives and says so
    Given a gateway process with <defect>
    Then it has a "defect" line
    And it answers readiness probes
    And its "defect" line has "problem" with "<text>"
    And it ends with code 0 after SIGTERM

    Examples:
      | defect                              | text             |
      | a defect in a callback of the loop  | ZeroDivisionError |
      | a defect in a task that nobody awaits | ZeroDivisionError |
      | a background task that fails, and without the library absl | ZeroDivisionError |

  # Guards against the same ends of the other daemon.
  Scenario Outline: <signal> during the imports does not end an entry process
    Given an entry process that is importing its modules
    When the gateway process receives <signal>
    And its imports go on
    Then it ends with code 2

    Examples:
      | signal  |
      | SIGHUP  |
      | SIGTERM |
      | SIGUSR1 |

  Scenario: an entry process without the library uvicorn names it and the machine
    Given an entry process whose library uvicorn is missing
    Then it ends with code 1
    And its "ended" line has "problem" with "uvicorn"
    And its "ended" line has "problem" with the machine's

  Scenario: an entry process with closed descriptors ends by its settings only
    Given an entry process whose descriptors 0, 1, 2 are closed
    Then it ends with code 2
