Feature: Bytes that are no answer may come without end, until the caller closes
  A call before such bytes ends early and closes its connection. All answers together hold no more
  of the process's memory than it allows for them, and few bytes each beyond that.

  # Guards against processes that are ended for their memory.
  Scenario Outline: Answers without end
    Given a worker that sends <bytes> until its caller closes
    When 16 requests are sent to it at once
    Then each ends as one whose answer is lost, before its time is over
    And no more memory was held than is allowed

    Examples:
      | bytes                                 |
      | garbage                               |
      | a head                                |
      | one field of a head                   |
      | interim answers                       |
      | a body with a length                  |
      | a body in chunks                      |
      | a body that ends with its connection  |
      | the size of a chunk                   |
      | fields behind the chunks              |
      | one line behind the chunks            |

  Scenario: An answer that is longer than all answers may be
    Given a worker that declares a body of 100000000 bytes and sends none
    When 1 request is sent to it
    Then each ends as one whose answer is lost, before its time is over

  Scenario: Short answers beside some without end
    Given a worker that sends a body with a length until its caller closes
    When 8 requests are sent to it at once, and 40 others to a worker that answers
    Then those 40 are answered

  Scenario Outline: Answers without end to other callers
    Given a worker that sends <bytes> until its caller closes
    When <answers> are read from it, 8 at once
    Then none of them is taken for whole, and each ended in less than 6 s
    And no more memory was held than is allowed

    Examples:
      | answers                       | bytes                         |
      | texts of items                | an event                      |
      | texts of items                | empty events                  |
      | texts of items                | empty lines                   |
      | scores of items               | a body in chunks              |
      | reports on workers            | a body in chunks              |
      | answers of the metadata store | a body with a length          |
      | lines of a watch              | a body in chunks              |

  Scenario Outline: A stream without end that holds no event
    Given two workers behind a gateway that send <bytes> until their caller closes
    When a client requests a stream that may be resumed
    Then the stream is broken off in less than 6 s
    And no more memory was held than is allowed

    Examples:
      | bytes        |
      | an event     |
      | empty lines  |
