Feature: An answer is taken for a whole one only if its sender sent one, and whole
  Workers break answers off, send bytes that are no answer, and answer twice. Such bytes belong to
  no request: the call ends like one whose answer is lost, and its connection is closed.

  # Guards against a 200 of 0 bytes whose worker broke off in the head.
  Scenario Outline: A head that ends with its connection
    Given a worker that <ends> amid the heads of its answers
    When its answers, cut at each byte of the head, are read as <answers>
    Then none of them is taken for an answer

    Examples:
      | ends    | answers                       |
      | closes  | answers to requests           |
      | resets  | answers to requests           |
      | closes  | streams                       |
      | closes  | texts of items                |
      | closes  | scores of items               |
      | closes  | reports on workers            |
      | closes  | answers of the metadata store |

  Scenario: A head that ends behind the stamp, before a gateway
    Given a worker that closes amid the heads of its answers
    When a client's request gets a head that ends behind the stamp
    Then the client gets 502, and no stamp

  # Guards against the status of one answer with the id of another one.
  Scenario Outline: The beginning of a surplus answer before the answer that is due
    Given a worker that sends the beginning of an answer to <owner> before the answer that is due
    When that beginning ends at each byte of its head
    Then only the answer that is due is taken for one, and only where nothing came before it

    Examples:
      | owner           |
      | another request |
      | the request     |

  # Guards against a watch that ends as if its time was over.
  Scenario Outline: A command's answer that ends with its connection
    Given a node that closes amid the answers to commands
    When the answer to <command>, cut at each byte, is read
    Then none of them is taken for an answer

    Examples:
      | command |
      | a watch |
      | a get   |

  # Guards against bodies of the wrong length.
  Scenario Outline: A head that is not that of one answer
    Given a worker whose answers have <head>
    When an answer to a request is read
    Then it is not taken for an answer
    And the connection is closed

    Examples:
      | head                                      |
      | two lengths                               |
      | a list of lengths                         |
      | a length with a sign                      |
      | a length beside chunks                    |
      | two ids                                   |
      | two stamps                                |
      | two versions of weights                   |
      | a transfer coding that is unknown         |
      | a transfer coding behind chunks           |
      | a no-break space behind a transfer coding |
      | chunks in HTTP/1.0                        |
      | a status line in a field                  |
      | a status line in a folded field           |
      | a status line in its reason               |
      | a status line for a field                 |
      | a status of two digits                    |
      | an empty line before the status line      |
      | a field without a name                    |
      | a field without a colon                   |
      | a space before a colon                    |
      | a space in a name                         |
      | a folded line for its first field         |
      | a bare CR in a field                      |
      | a bare CR in its status line              |
      | a NUL in a field                          |
      | the status of an upgrade                  |

  Scenario Outline: A head of one answer
    Given a worker whose answers have <head>
    When an answer to a request is read
    Then it is taken for the whole answer

    Examples:
      | head                                |
      | the same length twice               |
      | the same id twice                   |
      | a folded field                      |
      | lines that end in LF alone          |
      | bytes beyond ASCII in a field       |
      | an interim answer before it         |
      | no reason                           |
      | an empty field                      |
      | chunks, and fields behind them      |

  Scenario: A no-break space before a folded value
    Given a worker whose answers have a no-break space before a folded value
    When an answer to a request is read
    Then it is taken for the whole answer
    And the no-break space is passed on

  # Guards against bodies that end early, or that hold what is no part of them.
  Scenario Outline: Chunks that are none
    Given a worker whose answers have chunks with <fault>
    When an answer to a request is read
    Then it is not taken for an answer
    And the connection is closed

    Examples:
      | fault                              |
      | a size in other digits             |
      | a size with an underscore          |
      | a size with a sign                 |
      | a negative size                    |
      | no size                            |
      | a size that is too large           |
      | no line end behind them            |
      | no empty line behind the last one  |
      | an answer in the last one's size   |
      | an answer in the fields behind     |

  Scenario: Chunks that are cut at any byte
    Given a worker that closes its connection amid the chunks of its answers
    When its answers, cut at each byte behind the head, are read as answers to requests
    Then none of them is taken for an answer

  # Guards against a call that waits for the rest of bytes that are no answer.
  Scenario: Bytes that are no answer, right behind an interim answer
    Given a worker that sends an interim answer and other bytes at once, and no more
    When an answer to a request is read
    Then it is not taken for an answer
    And the call ended before its deadline

  # Guards against the rest of one answer in the slot of the next one.
  Scenario: Bytes behind a whole answer
    Given a worker that sends more bytes behind its answers
    When two requests are sent one after the other
    Then both get their answers, each over a connection of its own

  # Guards against a cut body without a length that passes for a whole one.
  Scenario: A reset that the failed write of a request has consumed
    Given a worker that resets the connection amid a long request and a body without a length
    When the request is sent and its answer is read
    Then it is not taken for an answer

  Scenario: A call that this process ends amid a body without a length
    Given a worker whose answers have no length, and pause in their middle
    When a call is aborted in that pause
    Then it is not taken for an answer
