Feature: The quota of a team holds over all hosts together

  # The window is 5 seconds, and 10 percent and 20 more requests are allowed.

  Scenario: a team 7.5 times as hot as its quota, through all hosts at once
    Given 6 gateways with the teams
      | team  | rate | burst |
      | hot   | 10   | 40    |
      | small | 0.3  | 2     |
    When these teams send for 12 seconds
      | team  | rate |
      | hot   | 75   |
      | small | 0.3  |
    Then the quota of "hot" is never exceeded by more than the allowance
    And "hot" has run at least 0.95 times its quota
    And no request of "small" is refused
    And the requests of "hot" were refused with 429 and a Retry-After of 5 seconds at most
    And the log of the owner of "hot" says that hosts ask it first
    And the metrics of all gateways name "hot" with what it was admitted and refused

  Scenario: a team within its quota is never refused, and not delayed
    Given 6 gateways with the teams
      | team   | rate | burst |
      | steady | 10   | 20    |
    When these teams send for 12 seconds
      | team   | rate |
      | steady | 9.5  |
    Then no request of "steady" is refused
    And no gateway has asked an owner first

  Scenario: a burst within the quota after a pause is not refused
    Given 6 gateways with the teams
      | team   | rate | burst |
      | sudden | 1    | 35    |
    When these teams send for 1 seconds
      | team   | rate |
      | sudden | 40   |
    Then no request of "sudden" is refused

  Scenario Outline: the owner of a team is <fault> while the team is <load>
    Given 6 gateways with the teams
      | team | rate | burst |
      | hot  | 10   | 40    |
    When these teams send for 4 seconds
      | team | rate   |
      | hot  | <rate> |
    And the owner of "hot" is <fault>
    And these teams send for 8 seconds
      | team | rate   |
      | hot  | <rate> |
    Then the quota of "hot" is never exceeded by more than the allowance
    And <outcome>

    Examples:
      | fault  | load             | rate | outcome                                     |
      | killed | hot              | 50   | "hot" has run at least 0.8 times its quota  |
      | frozen | hot              | 50   | "hot" has run at least 0.8 times its quota  |
      | killed | within its quota | 9    | no request of "hot" is refused              |
      | frozen | within its quota | 9    | no request of "hot" is refused              |

  # Guards against two hosts that act as the only voter of a quota.
  Scenario Outline: the owner of a team is killed <before> s into a hot load, and is back after <away> s
    Given 6 gateways with the teams
      | team | rate | burst |
      | hot  | 20   | 20    |
    When these teams send for 6 seconds
      | team | rate |
      | hot  | 12.5 |
    And these teams send for <before> seconds
      | team | rate |
      | hot  | 94   |
    And the owner of "hot" is killed
    And these teams send for <away> seconds
      | team | rate |
      | hot  | 94   |
    And the killed gateway starts again
    And these teams send for 8 seconds
      | team | rate |
      | hot  | 94   |
    Then the quota of "hot" is never exceeded by more than the allowance
    And "hot" has run at least 0.8 times its quota

    Examples:
      | before | away |
      | 0.5    | 0.5  |
      | 2      | 0.5  |
      | 2      | 3    |
      | 4.5    | 0.5  |
      | 4.5    | 5    |

  # Guards against voters that restart one after another and forget the window.
  Scenario Outline: the voters of a team are killed one after another, <apart> s apart, while it is <load>
    Given 6 gateways with the teams
      | team | rate | burst |
      | hot  | 20   | 20    |
    When these teams send for 6 seconds
      | team | rate |
      | hot  | 12.5 |
    And these teams send for 2 seconds
      | team | rate   |
      | hot  | <rate> |
    And each voter of "hot" is killed, back after 0.5 seconds, and the next one <apart> seconds later, with this load
      | team | rate   |
      | hot  | <rate> |
    And these teams send for 8 seconds
      | team | rate   |
      | hot  | <rate> |
    Then the quota of "hot" is never exceeded by more than the allowance
    And <outcome>
    And the log says from whom a voter of "hot" has learned what is counted

    Examples:
      | apart | load             | rate | outcome                                    |
      | 0.5   | hot              | 94   | "hot" has run at least 0.8 times its quota |
      | 1     | hot              | 94   | "hot" has run at least 0.8 times its quota |
      | 2     | hot              | 94   | "hot" has run at least 0.8 times its quota |
      | 1     | within its quota | 18   | no request of "hot" is refused             |

  # Guards against a voter that missed what others counted while it was frozen.
  Scenario Outline: the owner of a team freezes <before> s into a hot load, and wakes after <away> s
    Given 6 gateways with the teams
      | team | rate | burst |
      | hot  | 20   | 20    |
    When these teams send for 6 seconds
      | team | rate |
      | hot  | 12.5 |
    And these teams send for <before> seconds
      | team | rate |
      | hot  | 94   |
    And the owner of "hot" is frozen
    And these teams send for <away> seconds
      | team | rate |
      | hot  | 94   |
    And the frozen gateway wakes
    And these teams send for 8 seconds
      | team | rate |
      | hot  | 94   |
    Then the quota of "hot" is never exceeded by more than the allowance
    And "hot" has run at least 0.8 times its quota

    Examples:
      | before | away |
      | 0.5    | 1    |
      | 2      | 4    |
      | 6      | 4    |
      | 6      | 6    |

  # Guards against hosts whose lists of hosts lack each other after an outage.
  Scenario Outline: the hosts' registrations are lost in an outage of <away> s while a team is <load>
    Given 6 gateways with the teams
      | team | rate | burst |
      | hot  | 20   | 20    |
    When the source is down for <away> seconds and loses all hosts
    And these teams send for 12 seconds
      | team | rate   |
      | hot  | <rate> |
    Then the quota of "hot" is never exceeded by more than the allowance
    And <outcome>

    Examples:
      | away | load             | rate | outcome                                    |
      | 0    | hot              | 94   | "hot" has run at least 0.8 times its quota |
      | 5    | hot              | 94   | "hot" has run at least 0.8 times its quota |
      | 45   | hot              | 94   | "hot" has run at least 0.8 times its quota |
      | 5    | within its quota | 18   | no request of "hot" is refused             |

  # Guards against a voter that answers its first question after a pause by old counts.
  Scenario Outline: a voter that <pause> for <away> seconds <finds> that it may have missed something
    Given a voter of a quota that other hosts send messages to
    When it <pause> for <away> seconds
    Then it <finds> a pause with the next message

    Examples:
      | pause               | away | finds         |
      | stands still        | 2    | finds         |
      | stands still        | 1    | does not find |
      | gets no messages    | 2    | finds         |
      | gets no messages    | 1    | does not find |
      | expects no messages | 2    | does not find |

  # Guards against a majority of voters that were frozen during the same requests.
  Scenario Outline: two voters of a team freeze together <before> s into a hot load, and wake after <away> s
    Given 6 gateways with the teams
      | team | rate | burst |
      | hot  | 20   | 20    |
    When these teams send for 6 seconds
      | team | rate |
      | hot  | 12.5 |
    And these teams send for <before> seconds
      | team | rate |
      | hot  | 94   |
    And two voters of "hot" are frozen
    And these teams send for <away> seconds
      | team | rate |
      | hot  | 94   |
    And the frozen gateways wake
    And these teams send for 8 seconds
      | team | rate |
      | hot  | 94   |
    Then the quota of "hot" is never exceeded by more than the allowance
    And "hot" has run at least 0.6 times its quota

    Examples:
      | before | away |
      | 2      | 2    |
      | 6      | 4    |
      | 6      | 4.8  |
      | 6      | 1    |
      | 6      | 1.4  |
      | 6      | 3    |
      | 2      | 4    |
      | 10     | 8    |

  Scenario: the owner of a team within its quota is killed and starts again
    Given 6 gateways with the teams
      | team | rate | burst |
      | hot  | 20   | 20    |
    When these teams send for 6 seconds
      | team | rate |
      | hot  | 18   |
    And the owner of "hot" is killed
    And these teams send for 0.5 seconds
      | team | rate |
      | hot  | 18   |
    And the killed gateway starts again
    And these teams send for 8 seconds
      | team | rate |
      | hot  | 18   |
    Then no request of "hot" is refused

  Scenario: the hosts of one zone get no answers from the others
    Given 6 gateways with the teams
      | team  | rate | burst |
      | hot   | 10   | 40    |
      | small | 0.3  | 2     |
    When these teams send for 3 seconds
      | team | rate |
      | hot  | 50   |
    And the zone "south-1" gets no answers from the other zones
    And these teams send for 8 seconds
      | team  | rate |
      | hot   | 50   |
      | small | 0.3  |
    Then the quota of "hot" is never exceeded by more than the allowance
    And "hot" has run at least 0.8 times its quota
    And no request of "small" is refused

  Scenario: a host that reaches neither the source nor its peers admits a small share
    Given 6 gateways with the teams
      | team  | rate | burst |
      | hot   | 10   | 40    |
      | small | 0.3  | 2     |
    When the gateway "g2" is cut off from its peers and the source
    And these teams send for 10 seconds
      | team | rate |
      | hot  | 50   |
    And the team "small" sends 1 request to "g2"
    Then the quota of "hot" is never exceeded by more than the allowance
    And no request of "small" is refused
    And a refusal of "hot" names "g2" as the host that decided

  Scenario: the owner of a team is cut off, but still takes requests of callers
    Given 6 gateways with the teams
      | team | rate | burst |
      | hot  | 10   | 40    |
    When the owner of "hot" is cut off from its peers and the source
    And these teams send for 10 seconds
      | team | rate |
      | hot  | 50   |
    Then the quota of "hot" is never exceeded by more than the allowance
    And "hot" has run at least 0.8 times its quota

  Scenario: all hosts lose power at once while a team is hot
    Given 6 gateways with the teams
      | team   | rate | burst |
      | hot    | 10   | 40    |
      | steady | 10   | 40    |
    When these teams send for 6 seconds
      | team   | rate |
      | hot    | 30   |
      | steady | 9    |
    And all gateways are killed and start again
    And these teams send for 6 seconds
      | team   | rate |
      | hot    | 30   |
      | steady | 9    |
    Then the quota of "hot" is never exceeded by more than the allowance
    And no request of "steady" is refused

  Scenario: a host starts while a team uses its whole quota
    Given 6 gateways with the teams
      | team   | rate | burst |
      | steady | 10   | 20    |
      | hot    | 10   | 20    |
    When these teams send for 4 seconds
      | team   | rate |
      | steady | 9    |
      | hot    | 40   |
    And another gateway starts
    And these teams send for 6 seconds
      | team   | rate |
      | steady | 9    |
      | hot    | 40   |
    Then the quota of "hot" is never exceeded by more than the allowance
    And no request of "steady" is refused

  Scenario: a limit falls far below what the team sends, and rises again
    Given 6 gateways with the teams
      | team | rate | burst |
      | hot  | 20   | 40    |
    When these teams send for 6 seconds
      | team | rate |
      | hot  | 20   |
    And the quota of "hot" becomes 2 and 4
    And these teams send for 11 seconds
      | team | rate |
      | hot  | 20   |
    Then at most 35 requests of "hot" have run in the last 5 seconds
    When the quota of "hot" becomes 20 and 40
    And 1 second passes
    And these teams send for 4 seconds
      | team | rate |
      | hot  | 20   |
    Then none of the last 60 requests of "hot" is refused

  Scenario: a fallback refuses what two voters have counted without an answer
    Given 6 gateways that allow no overshoot with the teams
      | team | rate | burst |
      | any  | 1    | 3     |
    When the answers of the first 2 voters of "any" are lost
    And the team "any" sends 1 request to the last host in rank
    Then the owner of "any" counts 1 requests
    When all voters answer again
    And 3.2 seconds pass
    And the team "any" sends 1 request to the last host in rank
    Then the owner of "any" counts 1 requests

  Scenario: a request that one voter has counted without an answer runs
    Given 6 gateways that allow no overshoot with the teams
      | team | rate | burst |
      | any  | 1    | 3     |
    When the answers of the first 1 voter of "any" are lost
    And the team "any" sends 1 request to the last host in rank
    Then no request of "any" is refused
    And the owner of "any" counts 1 requests

  Scenario: a fallback that hears of one zone does not count its own
    Given 6 gateways with the teams
      | team | rate | burst |
      | hot  | 10   | 40    |
    When a host of another zone asks the first fallback for "hot" 40 times in 4 seconds
    Then it admits 14 requests, which need no knowledge of others

  Scenario: the owner of a team learns of its quota after the other hosts
    Given 6 gateways with the teams
      | team | rate | burst |
      | hot  | 0    | 0     |
    When the owner of "hot" does not get new tables
    And the quota of "hot" becomes 10 and 40
    And 1 second passes
    And these teams send for 4 seconds
      | team | rate |
      | hot  | 40   |
    And the owner of "hot" gets the table
    And these teams send for 6 seconds
      | team | rate |
      | hot  | 40   |
    Then the quota of "hot" is never exceeded by more than the allowance
    And "hot" has run at least 0.8 times its quota

  Scenario: a team leaves the table, and its name is given to another later
    Given 6 gateways with the teams
      | team | rate | burst |
      | old  | 1    | 4     |
      | more | 1    | 4     |
    When these teams send for 3 seconds
      | team | rate |
      | old  | 20   |
    And the team "old" leaves the table
    And 7 seconds pass
    Then no gateway keeps anything about "old"

  Scenario: a request that no upstream has run gives its credit back
    Given 6 gateways with the teams
      | team   | rate | burst |
      | steady | 1    | 10    |
    When the upstream leaves
    And these teams send for 4 seconds
      | team   | rate |
      | steady | 10   |
    Then each request of "steady" was refused with 503
    When the upstream returns
    And these teams send for 1 seconds
      | team   | rate |
      | steady | 10   |
    Then no request of "steady" is refused with 429

  Scenario: a caller that leaves before anything is sent gives its credit back
    Given 1 gateways with the teams
      | team   | rate | burst |
      | steady | 1    | 3     |
    When the upstream accepts connections but does not finish them
    And 8 callers of "steady" leave after 0.1 seconds
    Then the owner of "steady" counts 0 requests

  Scenario: gateways without quotas exchange no messages about them
    Given 6 gateways with the teams
      | team | rate | burst |
      | any  | 0    | 0     |
    When these teams send for 3 seconds
      | team | rate |
      | any  | 20   |
    Then no request of "any" is refused
    And no gateway has sent a message about quotas
    And no gateway has timers or metrics of quotas

  Scenario: without an allowance the owner decides about each request
    Given 6 gateways that allow no overshoot with the teams
      | team | rate | burst |
      | hot  | 10   | 40    |
    When these teams send for 8 seconds
      | team | rate |
      | hot  | 50   |
    Then at most 90 requests of "hot" have run in any 5 seconds

  Scenario: what a host reports counts once
    Given a ledger of a team with the quota 1 and 3
    When the process "p1" reports the requests 1, 2
    And the process "p1" reports the requests 1, 2, 3
    And the process "p2" reports the requests 1
    Then 4 requests are counted
    When the process "p1" gives back the request 2
    And the process "p1" gives back the request 2
    And the process "p1" reports the requests 1, 2, 3
    Then 3 requests are counted
    When the process "p1" gives back the request 4
    And the process "p1" reports the requests 4
    Then 3 requests are counted
    When the process "p3" reports the requests 7 that are 6 seconds old
    Then 3 requests are counted

  Scenario: a report that was held up on its way is dated back
    Given 1 gateways with the teams
      | team | rate | burst |
      | any  | 1    | 3     |
    When another process sends the report of request 1
    And another process sends the report of request 2, which is held up for 3 seconds
    Then the owner of "any" counts 2 requests
    When 2.2 seconds pass
    Then the owner of "any" counts 0 requests

  Scenario: the clocks of all hosts but the owner stood still
    Given 6 gateways with the teams
      | team | rate | burst |
      | hot  | 10   | 40    |
    When these teams send for 2 seconds
      | team | rate |
      | hot  | 6    |
    And the clocks of all hosts but the owner of "hot" fall back by 6 s
    And these teams send for 8 seconds
      | team | rate |
      | hot  | 50   |
    Then the quota of "hot" is never exceeded by more than the allowance

  Scenario: a request that is given back while its report is under way is reported again
    Given a host that has admitted the requests 1, 2
    When it reports them, and gives back the request 2 before the owner "p1" has confirmed
    Then it has to report none as admitted, and 2 as given back
    When the owner "p2" answers
    Then it has to report 1 as admitted, and 2 as given back

  Scenario: requests refused together are told to return one after another
    Given a ledger of a team with the quota 2 and 4
    When 20 requests are asked for, 0.05 seconds apart
    Then the first 15 of them are admitted
    And the others are refused, and each returns later than the one before
    When each of them returns when it was told to
    Then 5 requests are admitted

  Scenario: the metrics name the heaviest teams, and sum the others
    Given 1 gateways with 12 teams of a quota
    When each team sends one request more than the one before
    Then the metrics name 8 teams, the last ones, and count 10 requests of others
