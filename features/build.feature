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
