Feature: A reply without end is cut off before its deadline

  # Guards against a faulty server that fills the memory of a host, or holds a
  # request until its deadline, with bytes that are no reply.
  Scenario Outline: a server sends <bytes> without end to a gateway
    Given a server that answers with <bytes> without end
    When a gateway calls it with a timeout of 60 seconds
    Then the call fails before that
    And at most <read> KB were read, and at most <memory> MB of memory used

    Examples:
      | bytes                                 | read  | memory |
      | header lines                          | 1024  | 8      |
      | a header name                         | 1024  | 8      |
      | a header value                        | 1024  | 8      |
      | a reason phrase                       | 1024  | 8      |
      | interim replies                       | 1024  | 8      |
      | a chunk extension                     | 1024  | 8      |
      | trailers                              | 1024  | 8      |
      | a trailer value                       | 1024  | 8      |
      | empty replies with another id         | 1024  | 8      |
      | replies with another id               | 20480 | 32     |
      | chunk extensions                      | 20480 | 32     |
      | small chunks                          | 20480 | 32     |
      | chunks                                | 20480 | 32     |
      | a body that ends with the connection  | 20480 | 32     |

  @sockets
  Scenario Outline: a server sends <bytes> without end to an entry host
    Given a server that answers with <bytes> without end
    When an entry host calls it with a timeout of 60 seconds
    Then the call <outcome> before that
    And at most <read> KB were read, and at most <memory> MB of memory used

    # The library takes an interim reply for the reply, and reads no trailers.
    Examples:
      | bytes             | outcome | read  | memory |
      | header lines      | fails   | 4096  | 16     |
      | a header value    | fails   | 4096  | 16     |
      | a reason phrase   | fails   | 4096  | 16     |
      | interim replies   | ends    | 4096  | 16     |
      | a chunk extension | fails   | 20480 | 64     |
      | trailers          | ends    | 4096  | 16     |
      | chunks            | fails   | 20480 | 64     |

  Scenario Outline: a reply of <size> is read whole
    Given a server that answers with <size>
    When a gateway calls it with a timeout of 60 seconds
    Then the call succeeds

    Examples:
      | size                                       |
      | part stamps of 1700 shards                 |
      | a body of 8 MB                             |
      | a body of 1 MB in chunks of 100 bytes      |
      | 1000 interim replies before the reply      |
      | a late reply of 7 MB before the reply      |
