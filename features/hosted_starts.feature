Feature: A worker may start again under its id
  A restarted worker has lost its state. What is known of its former incarnation does not apply to
  the new one, and older data never replaces newer data, whichever way it arrives.

  Scenario: Readings of starts in any order
    Then in reads of any age and source no former incarnation of a worker is shown again
    And after any late writes a worker that keeps writing is shown with its newest incarnation

  Scenario: A worker whose clock was put back
    Given a view that knows worker "i-1" as started at 9000
    When it is read at a higher revision as started at 5000
    Then the view shows the start at 9000
    When it is read at a higher revision as started at 5000
    Then the view shows the start at 5000
    When it is read at a higher revision as started at 9000
    Then the view shows the start at 5000
    And its restart count is 1

  Scenario: A worker that starts again while its entry had lapsed
    Given a view that knows worker "i-1" as started at 5000
    When its entry expires
    And it is read at a higher revision as started at 9000
    And it is read at a higher revision as started at 5000
    Then the view shows the start at 9000
    When it is read at a higher revision as started at 9000
    And it is read at a higher revision as started at 5000
    Then the view shows the start at 9000

  Scenario: Copies of peers that are behind
    Given a view copied from a peer that knows worker "i-1" as started at 9000
    When an outdated copy of a peer shows it as started at 5000
    Then the view shows the start at 9000
    When it is read at a higher revision as started at 5000
    Then the view shows the start at 5000

  Scenario: A change that comes while overdue workers are dropped
    Then a change that is applied while expired workers are dropped is kept

  Scenario: Starts, reports and orders in any order
    Then no version counts for an incarnation of a worker that did not hold it
    And finally every worker holds the newest version, whichever orders were executed late

  Scenario: A report of another start
    Given a worker whose report comes from a newer incarnation than its entry
    When a version that this incarnation holds is published
    Then the version does not count for the incarnation of the entry, and no order is sent

  Scenario: A late order takes a new start back to an older version
    Given a restarted worker that has reported version 3 and not yet rewritten its entry
    When the order for version 2 to its former incarnation is executed
    Then it is ordered to load version 3 again once its report has expired

  Scenario: Resting connections to the former start
    Given a worker behind a gateway, with idle connections between them
    When the worker restarts while its former connections stay silent, and its new entry is read
    Then the next non-idempotent request runs once, at the new incarnation, and is answered

  Scenario: A worker process is killed and started again while work is in hand
    Given a worker process, another worker, a gateway and a rollout controller
    When it is killed and restarted during a stream, a request, a text generation and an order
    Then the resumable stream is complete, and the text continues at the new incarnation
    And the non-idempotent request ran once and is not answered as refused
    And no state of the former incarnation applies to the new one, which gets its own order

  Scenario: A request that may have run at a former start
    Then it is sent to the new incarnation only if it is idempotent
    And both incarnations count towards its maximum number of attempts
