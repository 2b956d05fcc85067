Feature: Teams are identified by their keys

  Background:
    Given an upstream "a" of "desk"
    And the route "/desk/" to "desk"
    And the team "front-desk" with the keys "k-old" and "k-new"
    And the team "billing" with the key "k-bill"

  Scenario: the team of a key is named to the upstream, and the key is not
    Given a gateway
    When a caller with the key "k-new" sends GET "/desk/7"
    Then the reply is 200
    And "a" was sent the header "rudderrock-team" as "front-desk"
    And "a" was not sent the header "authorization"
    And no log line contains "k-new"

  Scenario: a caller can't name its team itself
    Given a gateway
    When a caller with the key "k-bill" that claims the team "front-desk" sends GET "/desk/7"
    Then the reply is 200
    And "a" was sent the header "rudderrock-team" as "billing"

  # Guards against callers that take the team off their requests.
  Scenario Outline: a caller that lists "<listed>" in Connection does not remove it
    Given a gateway
    When a caller sends GET "/desk/7" with the headers "Authorization: Bearer k-bill; Connection: keep-alive, <listed>"
    Then the reply is 200
    And "a" was sent the header "rudderrock-team" as "billing"
    And "a" was sent the header "host" as "members.example"
    And "a" was sent its own id as the expected upstream
    And "a" was sent the request id of the caller
    And "a" was not sent the header "authorization"

    Examples:
      | listed                                        |
      | Rudderrock-Team                               |
      | Rudderrock-Request-Id, Host                   |
      | rudderrock-expect-upstream, RUDDERROCK-TEAM   |
      | Rudderrock-Deadline-Ms, Authorization         |

  Scenario: the name of a team may have any letters
    Given the team "Łódź" with the key "k-far"
    And a gateway
    When a caller with the key "k-far" sends GET "/desk/7"
    Then the reply is 200
    And "a" was sent the UTF-8 header "rudderrock-team" as "Łódź"

  Scenario Outline: a request without a listed key is refused: <case>
    Given a gateway
    When a caller sends GET "/desk/7" with the headers "<headers>"
    Then the reply is 401
    And no upstream ran anything
    And the log has a line of it with the outcome "unauthorized" and a reason

    Examples:
      | case         | headers                                             |
      | none         | X-Other: 1                                          |
      | unknown      | Authorization: Bearer k-other                       |
      | other scheme | Authorization: Basic k-bill                         |
      | two keys     | Authorization: Bearer k-old; Authorization: Bearer k-bill |
      | claimed team | Rudderrock-Team: billing                            |

  Scenario: a public route needs no key and gets no team
    Given the public route "/notice/" to "desk"
    And a gateway
    When a caller sends GET "/notice/7" with the headers "Authorization: Bearer k-bill; Rudderrock-Team: billing"
    Then the reply is 200
    And "a" was not sent the header "authorization"
    And "a" was not sent the header "rudderrock-team"

  Scenario: a table without teams passes on what the caller sends
    Given no teams
    And a gateway
    When a caller sends GET "/desk/7" with the headers "Authorization: Bearer k-bill; Rudderrock-Team: billing"
    Then the reply is 200
    And "a" was sent the header "authorization" as "Bearer k-bill"
    And "a" was sent the header "rudderrock-team" as "billing"

  Scenario: a removed key is refused on an open connection
    Given a gateway
    When a caller opens a connection and sends GET "/desk/7" with the key "k-old"
    Then the reply is 200
    When the team "front-desk" keeps only the key "k-new"
    And 1 second passes
    And the caller sends GET "/desk/8" with the key "k-old" on its connection
    Then the reply is 401
    When the caller sends GET "/desk/9" with the key "k-new" on its connection
    Then the reply is 200

  Scenario: a host whose table may be outdated does not call a key unknown
    Given a gateway
    When the source is down
    And 6 seconds passes
    And a caller with the key "k-later" sends GET "/desk/7"
    Then the reply is 503
    And the reply has a Retry-After of less than 1 second
    When a caller with the key "k-new" sends GET "/desk/7"
    Then the reply is 200

  Scenario: a gateway without a table does not refuse a key
    Given the source is down from the start
    And a gateway
    When a caller with the key "k-new" sends GET "/desk/7"
    Then the reply is 503

  Scenario: a request has the same digest with any key of its team
    Given a gateway
    Then the digests of "/desk/7" with the keys "k-old" and "k-new" are equal
    And the digests of "/desk/7" with the keys "k-old" and "k-bill" differ

  Scenario: the adapter reads teams, and keeps no keys
    When the platform's configuration lists the tenants
      | name    | keys    | rate_per_s | burst | priority |
      | members | k1,k2   | 9          | 4     | 1        |
      | clubs   | k3      | 0          | 0     |          |
    Then the key "k2" belongs to "members" with the quota 9 and 4 and the priority 1
    And the key "k3" belongs to "clubs" without a quota or priority
    And the stored table contains none of the keys and means the same

  Scenario Outline: an invalid list of tenants is rejected: <problem>
    When the platform's configuration lists the tenants
      | name    | keys   | rate_per_s | burst   | priority |
      | members | k1     | 1          | 1       | 1        |
      | <name>  | <keys> | <rate>     | <burst> | <rank>   |
    Then the table is rejected because of "<problem>"

    Examples:
      | name    | keys | rate | burst | rank | problem                                   |
      | clubs   | k1   | 1    | 1     | 1    | teams members and clubs have the same key |
      | members | k2   | 1    | 1     | 1    | team members is listed twice              |
      | clubs   | k2   | -1   | 1     | 1    | rate_per_s of tenant clubs must be finite |
      | clubs   | k2   | 1    | -1    | 1    | burst of tenant clubs must be finite      |
      | clubs   | k2   | 1    | 1     | top  | tenants                                   |
      |         | k2   | 1    | 1     | 1    | the name of a tenant must be printable    |
