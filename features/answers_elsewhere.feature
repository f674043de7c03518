Feature: No reader takes what is no whole answer for one, and no writer ends a cut answer like a whole one

  # Guards against a stream that ends as complete with another worker's failure.
  Scenario Outline: A stream whose next worker answers with something else than events
    Given two workers behind a gateway, of which the first cuts its stream and the next answers <answer>
    When a client sends a request to "/resumable/x"
    Then its stream does not end like a whole one

    Examples:
      | answer                                 |
      | 404 without a body                     |
      | 422 without a body                     |
      | 302 without a body                     |
      | 204                                    |
      | 404 with a text that ends in two lines |

  Scenario Outline: A failure on a streaming route
    Given two workers behind a gateway that answer <answer>
    When a client sends a request to "<path>"
    Then it gets the worker's status, stamp and body

    Examples:
      | path         | answer          |
      | /stream/x    | 400 with a text |
      | /resumable/x | 400 with a text |
      | /stream/x    | 404 with a text |

  # Guards against sound answers that are refused for memory which nobody uses.
  Scenario: A body that is declared and not sent
    Given a worker that declares nearly all memory for answers and sends 1 byte
    When other answers of over 256 KiB are read meanwhile
    Then the sound worker's answer and the listing of the metadata store are whole

  # Guards against a body that ends in the head of the next answer.
  Scenario Outline: An answer that is cut in its body, and sent again on the connection
    Given a worker that cuts its body at byte <cut> and sends the answer again behind it
    When a request is sent through a gateway
    Then the client does not get a mixed body

    Examples:
      | cut |
      | 0   |
      | 100 |
      | 700 |

  # Guards against texts that are listed as completed without an event.
  Scenario Outline: A text without an event
    Given a worker that answers an item's request with <answer>
    When the item is run there
    Then its text does not count as complete

    Examples:
      | answer               |
      | 204                  |
      | an empty body        |
      | a page of HTML       |

  # Guards against the answer to one order that is taken for that to the next one.
  Scenario Outline: A surplus answer to a worker's control interface
    Given a worker that answers each control call once more before the next answer
    When <calls> are made, and their ids told apart
    Then the surplus answer is not taken for that of the second call

    Examples:
      | calls       |
      | two orders  |
      | two reports |

  # Guards against a cut HTTP/1.0 answer, whose end is that of its connection.
  Scenario Outline: A cut stream to an HTTP/1.0 client
    Given a gateway that streams to an HTTP/1.0 client
    When the stream is cut by <cause>
    Then the client's connection is reset

    Examples:
      | cause                  |
      | the server's end       |
      | a caller that stalls   |
