Feature: Drawn bytes of faulty workers are read as one plain reading of RFC 9112 reads them
  No head made of two answers is taken as one. Whatever is taken for an answer has the status, the
  fields and the body of one that its sender sent whole.

  Scenario Outline: Bytes that are drawn, read at once and in segments
    When drawn bytes arrive that are <bytes>
    Then only whole answers are taken, each as its sender sent it

    Examples:
      | bytes                                         |
      | whole answers                                 |
      | a head that is cut before a whole answer      |
      | fields that are repeated, swapped or removed  |
      | bytes that are changed, added or missing      |
      | two answers that are both cut                 |
      | chunks that are cut, joined or resized        |
      | any bytes at all                              |
      | heads and lines about as long as may be       |

  Scenario: The same bytes in other segments
    When drawn bytes arrive one at a time, or in two segments that meet at any point
    Then they are read as if they had arrived at once

  Scenario: Bytes without end that are no answer
    When drawn bytes arrive without end
    Then each call fails within the longest head and few bytes held

  Scenario: A head that is cut before a whole answer, from a worker
    Given a worker that sends drawn bytes
    When it cuts the heads of answers to others before the answers that are due
    Then only what it sent whole is taken for an answer, by calls to it
