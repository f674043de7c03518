Feature: Texts run where and when they end soonest
  A step is as long as its last few texts. Long texts begin first, at the workers that make events
  fastest; a run at a slow or silent worker goes on at a better one, behind its last event.

  Scenario: Any runs and any workers
    Then a move never lacks a place, never stays where it is and pays for itself or ends a silence

  Scenario: The pace of workers, with pauses between events
    Then a slow worker is told from a fast one within 40 events, whatever pauses both make

  Scenario: The longest texts of a job begin first
    Given a leader with model workers and scorers
    And the workers stream slowly
    When a job of 24 items is accepted whose callers guess ever longer texts
    Then the 16 longest begin before the others

  Scenario: A worker falls silent in the middle of its texts
    Given a leader with model workers and scorers
    And the first worker falls silent after 2 events
    When a job of 8 items in 4 groups is accepted
    Then every item has a completed result with its full text, versions and score
    And texts of the silent worker went on behind event 2 at the other one

  Scenario: A run that is moved stays with its service
    Given a leader whose route gives 3 parts to "llm" and 1 part to "llm-next"
    And the first worker falls silent after 2 events
    When a job of 20 items in 5 groups is accepted
    Then every item has a completed result with its full text, versions and score
    And no text of the silent worker went to the other service

  Scenario: A worker is much slower than another one
    Given a leader with model workers and scorers
    And the first worker makes an event each 300 ms and the other one each 30 ms
    When a job of 4 items in 2 groups is accepted
    And it is listed and another one of 12 items with long texts is accepted
    Then every item of it is whole and the slow worker ended none of them

  Scenario: This process itself stands still
    Given runs at a worker with an event each 30 ms beside a slower worker with room
    When this process stands still for 0.5 s and looks at the runs before it reads their events
    Then no run is moved
    When nothing comes of the worker although this process looks at it for 0.5 s more
    Then as many runs are moved as the slower worker has room for

  Scenario: This process is slow to look
    Given runs at a worker with an event each 30 ms beside a slower worker with room
    When nothing comes of the worker and this process looks each 0.4 s only
    Then as many runs are moved as the slower worker has room for

  Scenario: Runs whose threads have not begun
    Given runs at a worker that were just handed out, beside a slower worker with room
    When this process looks at them for 0.3 s
    Then no run is moved
    When nothing comes of the worker although this process looks at it for 0.5 s more
    Then as many runs are moved as the slower worker has room for

  Scenario: The whole process stands still when texts are nearly whole
    Given a leader with model workers and scorers
    And the first worker makes an event each 300 ms and the other one each 30 ms
    And this process stands still for 500 ms when the other one has made event 56 of a text
    When a job of 4 items in 2 groups is accepted
    And it is listed and another one of 12 items with long texts is accepted
    Then every item of it is whole and the slow worker ended none of them
