Feature: Teams share the room that there is

  Background:
    Given 6 shards with 2 slots that work for 0.04 seconds
    And the route "/all/" to all shards with priority 1

  # The shards can take 50 queries a second. The four other teams ask for 32.
  # The limit on queries adapts in the first two seconds.
  Scenario: a team that sends four times the capacity crowds out no other team
    Given the team "crowd" with the key "k0"
    And 4 teams "club" with one key each
    And a gateway
    When for 10 seconds "crowd" sends 200 queries a second, and each "club" 8
    Then each "club" gets at least 0.9 of its answers within 0.2 seconds after the first 2 seconds
    And all teams together get at least 40 answers a second within 0.2 seconds
    And queries that were refused have not run and were refused within 0.01 seconds

  Scenario: idle shares are lent
    Given the team "crowd" with the key "k0"
    And 4 teams "club" with one key each
    And a gateway
    When for 10 seconds "crowd" sends 150 queries a second, and each "club" 0
    Then all teams together get at least 40 answers a second within 0.2 seconds

  Scenario: a lent share comes back within a second
    Given the team "crowd" with the key "k0"
    And 1 team "club" with one key each
    And a gateway
    When for 6 seconds "crowd" sends 150 queries a second, and each "club" 0
    And for 4 seconds "crowd" sends 150 queries a second, and each "club" 20
    Then each "club" gets at least 0.9 of its answers within 0.2 seconds after the first 1 second

  Scenario: teams that ask for more than there is share it by their quotas
    Given the team "large" with the key "k0" and a quota of 300 a second
    And the team "small" with the key "k1" and a quota of 100 a second
    And a gateway
    When for 10 seconds "large" and "small" send 100 queries a second each
    Then "large" gets between 2 and 4 times the answers of "small"

  Scenario: callers who repeat refused queries at once harm only their own team
    Given the team "crowd" with the key "k0"
    And 4 teams "club" with one key each
    And a gateway
    When for 10 seconds "crowd" sends 60 queries a second and repeats each refused one 5 times at once, and each "club" sends 8
    Then each "club" gets at least 0.9 of its answers within 0.2 seconds after the first 2 seconds

  Scenario: the least urgent team is served at least a quarter as often as all
    Given the team "first" with the key "k0" and the priority 0
    And the team "second" with the key "k1" and the priority 1
    And the team "last" with the key "k2" and the priority 9
    And a gateway
    When for 10 seconds "first", "second" and "last" send 100, 50 and 10 queries a second
    Then "last" is served at least 0.25 as often as all teams

  Scenario Outline: the priority of a team goes before that of its route: <team>, <route>
    Given the route "/late/" to all shards with priority 5
    And the team "first" with the key "k0" and the priority 0
    And the team "second" with the key "k1" and the priority 2
    And the team "plain" with the key "k2"
    Then a query of "<team>" on "<route>" has the rank <rank>

    Examples:
      | team   | route  | rank |
      | first  | /all/  | 0    |
      | first  | /late/ | 1    |
      | plain  | /all/  | 2    |
      | second | /all/  | 3    |
      | second | /late/ | 4    |
      | plain  | /late/ | 5    |

  Scenario: queries that are refused together return one after the other
    Given the team "crowd" with the key "k0"
    And 20 of its queries were admitted within the last second
    When 12 of its queries are refused at once
    Then each may return later than the one before, 0.3 to 1.2 seconds from now
    When 100 more of its queries are refused at once
    Then none is told to return after more than 2 seconds
