Feature: The last answer of a connection reaches its caller
  A server may answer a request, and end the connection, while the caller still sends the body. A
  socket that is closed with unread input is reset, and the reset may overtake the answer.

  # Guards against refusals that a caller loses since it still sends its body.
  Scenario Outline: A request is refused while its body comes
    Given an HTTP server that <does> and takes bodies of 1048576 bytes
    When a caller sends <size> bytes <framed> in <seconds> s
    Then the caller gets <status>
    And the server soon has no connection

    Examples:
      | does                                 | size     | framed        | seconds | status |
      | reads each body                      | 1048576  | with a length | 0       | 200    |
      | reads each body                      | 1048577  | with a length | 0       | 413    |
      | reads each body                      | 40000000 | with a length | 0       | 413    |
      | reads each body                      | 3000000  | with a length | 5       | 413    |
      | reads each body                      | 6000000  | in chunks     | 5       | 413    |
      | refuses at once                      | 700000   | in chunks     | 3       | 503    |
      | refuses at once and closes           | 20000    | in chunks     | 0.1     | 503    |
      | refuses at once and closes           | 900000   | with a length | 4       | 503    |
      | refuses at once and closes           | 40000000 | in chunks     | 0       | 503    |

  # Guards against a body that nobody reads to its end, nor refuses.
  Scenario Outline: A body grows too long behind the answer
    Given an HTTP server that refuses at once and takes bodies of 1048576 bytes
    When a caller sends <size> bytes in chunks in 0 s
    Then the caller gets 503
    And the server soon has no connection

    Examples:
      | size     |
      | 1048577  |
      | 40000000 |

  # Guards against a long answer that is cut since the next request on its connection is refused.
  Scenario: A refusal behind an answer that the caller reads slowly
    Given an HTTP server that answers with 3000000 bytes and takes bodies of 1048576 bytes
    When a caller asks once, then sends 2000000 bytes and reads slowly
    Then it reads one whole answer and a refusal with 413

  # Guards against connections that are held for callers that neither send nor close.
  Scenario Outline: A caller that does not close its side
    Given an HTTP server that refuses at once and closes and takes bodies of 1048576 bytes
    And it drops input for <longest> s at most, and for <idle> s while none comes
    When a caller begins a body and then sends a byte each <pause> s
    Then the server ends the connection after <least> to <most> s

    Examples:
      | longest | idle | pause | least | most |
      | 30      | 1    | 60    | 1     | 4    |
      | 4       | 2    | 0.2   | 4     | 7    |

  # Guards against a stop that does not wait until a caller has read why it was refused.
  Scenario: A connection is busy while a refused body may come
    Given an HTTP server that refuses at once and closes and takes bodies of 1048576 bytes
    When a caller has read its refusal amid its body
    Then the connection is busy until the caller closes it
