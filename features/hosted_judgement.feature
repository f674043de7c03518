Feature: Workers that do worse than their fellows are set aside
  Workers of a service are judged by what was seen of them all, on replayed load.

  Scenario Outline: Load at workers of which some are bad
    When <workers> workers are judged under load of which <bad> are <kind>
    Then within 20 s just the bad ones were set aside, and they got few requests after it

    Examples:
      | workers | bad | kind              |
      | 4       | 1   | ten times as slow |
      | 8       | 4   | ten times as slow |
      | 6       | 1   | grey              |
      | 5       | 2   | failing all       |

  Scenario Outline: Load at workers that are alike or sound
    When <workers> workers are judged under load of which <bad> are <kind>
    Then nobody was ever set aside

    Examples:
      | workers | bad | kind              |
      | 6       | 6   | ten times as slow |
      | 6       | 6   | failing all       |
      | 8       | 6   | 2.2 times as slow |
      | 1       | 1   | failing all       |
      | 6       | 0   | grey              |

  Scenario: Sound workers of two kinds whose times vary widely
    Then at 10 loads of 6 slower and 2 faster workers no more than 1 in 40 is ever set aside

  Scenario Outline: Requests that fail wherever they go
    Then at 10 loads of <workers> workers that fail <percent>% alike no more than 1 in 10 is ever set aside

    Examples:
      | workers | percent |
      | 5       | 10      |
      | 5       | 25      |
      | 4       | 50      |

  Scenario: A worker that is well again returns by trials
    Given 4 workers are judged of which one fails everything for 10 s
    Then it is set aside, and it serves again within 45 s

  Scenario: A worker that is well and bad by turns
    Given 4 workers are judged of which one is bad for 5 s of each 12 s
    Then each while that it is set aside within a minute of the last is longer, up to 30 s

  Scenario: Most of a service is bad in turn
    Then at any outcomes no more than half of a service is set aside, and a single worker never is
    And what was seen since a moment is exact at any outcomes

  Scenario: A worker that is well again, where requests are rare
    Then a worker whose trials are 9 s apart returns within a minute of being well
