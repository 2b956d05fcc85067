Feature: A program tells which sources it was built from

  # Guards against measuring an earlier build: the copy under target/ was left
  # in place, and the log did not tell it from the checkout's sources.
  Scenario: a build that fails leaves no program of an earlier build
    Given a checkout that has been built
    When the libraries change and cannot be installed
    Then the build fails, and no program is left to start

  Scenario: the build id follows the sources
    Given a checkout that has been built
    Then the program's build id is that of the sources
    When a source file changes
    Then the program's build id is not that of the sources
    When the checkout is built
    Then the program's build id is that of the sources

  # Guards against a build that judges libraries by time stamps: a folder of
  # another machine, or an incomplete one, passed as up to date.
  Scenario Outline: a build installs the libraries anew if <fault>
    Given a checkout that has been built
    When <fault>
    And the checkout is built
    Then the program starts
    And the libraries have been installed 2 times

    Examples:
      | fault                                              |
      | the build folder is of another architecture        |
      | the build folder is of another Python              |
      | the build folder lacks a library                   |
      | the build folder lacks a compiled module           |
      | the build folder has a damaged library             |
      | the build folder has the library of an earlier one |
      | the build folder has no stamp                      |
      | the build folder is empty                          |
      | the build folder is empty and read-only            |
      | the build folder is a file                         |
      | the libraries change and no time stamp does        |

  Scenario Outline: a fitting build folder is kept without a network <state>
    Given a checkout that has been built
    When no library can be installed
    And <state>
    And the checkout is built
    Then the program starts
    And the libraries have been installed 1 time

    Examples:
      | state                                        |
      | the checkout is built                        |
      | the list of libraries has a newer time stamp |
      | the build folder is copied to a new place    |
      | the build folder is read-only                |
      | the program is one of other sources          |
      | the sources have modules of an earlier state |

  Scenario Outline: a build that is killed <moment> leaves no program
    Given a checkout that has been built
    When the libraries change
    And a build is killed <moment>
    Then no program is left to start
    When the checkout is built
    Then the program starts

    Examples:
      | moment                              |
      | while the libraries are installed   |
      | while the program is compiled       |
      | while the program is tried          |

  Scenario: a build whose program cannot be imported fails
    Given a checkout that has been built
    When the program uses a library that is not listed
    Then the build fails, and no program is left to start

  Scenario: a build tries the program as it is run
    Given a checkout that has been built
    Then the program was tried with the options and the path of a run
