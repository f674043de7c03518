Feature: The last answer of a connection reaches its caller
  A server may answer a request, and end the connection, while the caller still sends the body. A
  socket that is closed with unread input is reset, and the reset may overtake the answer.

  # Guards against a body that nobody reads to its end, nor refuses.
  Scenario Outline: A body grows too long behind the answer
    Given an HTTP server that <does> and takes bodies of 1048576 bytes
    When a caller sends <size> bytes <framed> in <seconds> s
    Then the caller gets <status>
    And the server soon has no connection

    Examples:
      | does                                 | size     | framed        | seconds | status |
      | reads each body                      | 1048576  | with a length | 0       | 200    |
      | refuses at once                      | 700000   | in chunks     | 3       | 503    |
      | refuses at once                      | 40000000 | in chunks     | 0       | 503    |
