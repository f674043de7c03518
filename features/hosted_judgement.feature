Feature: Workers that do worse than their fellows are set aside
  The outlier detector compares the workers of a service under replayed load.

  Scenario Outline: Load at workers of which some are bad
    When <workers> workers serve load of which <bad> are <kind>
    Then within 20 s exactly the bad ones were ejected, and they got few requests afterwards

    Examples:
      | workers | bad | kind                     |
      | 4       | 1   | ten times as slow        |
      | 8       | 4   | ten times as slow        |
      | 6       | 1   | failing half of requests |
      | 5       | 2   | failing every request    |

  Scenario Outline: Load at workers that are alike or sound
    When <workers> workers serve load of which <bad> are <kind>
    Then no worker was ever ejected

    Examples:
      | workers | bad | kind                     |
      | 6       | 6   | ten times as slow        |
      | 6       | 6   | failing every request    |
      | 8       | 6   | 2.2 times as slow        |
      | 1       | 1   | failing every request    |
      | 6       | 0   | failing half of requests |

  Scenario: Sound workers of two kinds whose times vary widely
    Then at 10 loads of 6 slower and 2 faster workers no more than 1 in 40 is ever ejected

  Scenario Outline: Requests that fail wherever they go
    Then at 10 loads of <workers> workers that fail <percent>% alike no more than 1 in 10 is ever ejected

    Examples:
      | workers | percent |
      | 5       | 10      |
      | 5       | 25      |
      | 4       | 50      |

  Scenario: A worker that is well again returns by trials
    Given 4 workers serve load of which one fails every request for 10 s
    Then it is ejected, and reinstated within 45 s

  Scenario: A worker that is well and bad by turns
    Given 4 workers serve load of which one fails every request for 5 s of each 12 s
    Then each ejection within a minute of the last is longer, up to 30 s

  Scenario: Most of a service is bad in turn
    Then under any outcomes at most half of a service is ejected, and a single worker never is
    And counts since an earlier time are exact under any outcomes

  Scenario: A worker that is well again, where requests are rare
    Then a worker whose probes are 9 s apart is reinstated within a minute of its recovery
