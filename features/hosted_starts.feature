Feature: A worker may start again under its id
  It then holds nothing and knows nothing of before. What is known of the former start says nothing
  of the new one, and what is older never replaces what is newer, whichever way it comes.

  Scenario: Readings of starts in any order
    Then however old and by whom a reading is, no former start of a worker is shown again
    And whatever was written late, a worker that goes on writing is shown as it started last

  Scenario: A worker whose clock was put back
    Given a view that knows worker "i-1" as started at 9000
    When it is read at a higher revision as started at 5000
    Then the view shows the start at 9000
    When it is read at a higher revision as started at 5000
    Then the view shows the start at 5000
    When it is read at a higher revision as started at 9000
    Then the view shows the start at 5000
    And it counts 1 starts beyond the first

  Scenario: A worker that starts again while its entry had lapsed
    Given a view that knows worker "i-1" as started at 5000
    When its entry lapses
    And it is read at a higher revision as started at 9000
    And it is read at a higher revision as started at 5000
    Then the view shows the start at 9000
    When it is read at a higher revision as started at 9000
    And it is read at a higher revision as started at 5000
    Then the view shows the start at 9000

  Scenario: Copies of peers that are behind
    Given a view that peers told of worker "i-1" as started at 9000
    When a peer that is behind tells of it as started at 5000
    Then the view shows the start at 9000
    When it is read at a higher revision as started at 5000
    Then the view shows the start at 5000

  Scenario: A change that comes while overdue workers are dropped
    Then a change that is taken amid the dropping of overdue workers is kept

  Scenario: Starts, reports and orders in any order
    Then no version counts for a start of a worker that another start had
    And in the end every worker holds the newest version, whatever late orders did

  Scenario: A report of another start
    Given a worker whose report comes from a start that its entry does not tell yet
    When a version is named that this start holds
    Then the version does not count for the start that the entry tells, and no order is given

  Scenario: A late order takes a new start back to an older version
    Given a worker with version 3 that started again, its report told and its entry not yet rewritten
    When the order for version 2 to its former start is carried out
    Then it is ordered to version 3 again once its report counts no more

  Scenario: Resting connections to the former start
    Given a worker behind a gateway, with resting connections between them
    When the worker starts again behind a cut, its former connections silent, and its entry is read
    Then the next request that must not be repeated runs once, at the new start, and is answered

  Scenario: A worker process is killed and started again while work is in hand
    Given a worker process beside another worker, a gateway and a controller of roll-outs
    When it is killed and started again amid a stream, a request, a text and an order
    Then the stream that may be resumed comes whole, and the text goes on at the new start
    And the request that must not be repeated ran once and is not said to be refused
    And nothing that was known of the former start counts for the new one, which is ordered anew

  Scenario: A request that may have run at a former start
    Then it is not asked of the new start unless it may be repeated
    And both starts count for the most workers that it may go to
