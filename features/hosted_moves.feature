Feature: Texts run where and when they end soonest
  A step ends with its last text. Long texts start first, on the fastest workers; a run on a slow or
  silent worker is moved to a better one, where it resumes after its last event.

  Scenario: Any runs and any workers
    Then a move has a free slot at another worker and either saves time or leaves a silent worker

  Scenario: The pace of workers, with pauses between events
    Then a slow worker is told from a fast one within 40 events, whatever pauses both have

  Scenario: The longest texts of a job begin first
    Given a leader with model workers and scorers
    And the workers stream slowly
    When a job of 24 items with ever longer estimated texts is accepted
    Then the 16 longest start before the others

  Scenario: A worker falls silent in the middle of its texts
    Given a leader with model workers and scorers
    And the first worker falls silent after 2 events
    When a job of 8 items in 4 groups is accepted
    Then every item has a completed result with its full text, versions and score
    And texts of the silent worker resumed after event 2 at the other one

  Scenario: A run that is moved stays with its service
    Given a leader whose route gives 3 parts to "llm" and 1 part to "llm-next"
    And the first worker falls silent after 2 events
    When a job of 20 items in 5 groups is accepted
    Then every item has a completed result with its full text, versions and score
    And no text of the silent worker went to the other service

  Scenario: A worker is much slower than another one
    Given a leader with model workers and scorers
    And the first worker emits an event every 300 ms and the other one every 30 ms
    When a job of 4 items in 2 groups is accepted
    And its results are recorded and another job of 12 items with long texts is accepted
    Then every item of the later job is complete and the slow worker finished none of them

  Scenario: This process itself stands still
    Given runs on a worker with an event every 30 ms and a slower worker with free slots
    When this process stalls for 0.5 s and checks the runs before it reads their events
    Then no run is moved
    When the worker sends nothing while this process checks the runs for another 0.5 s
    Then as many runs are moved as the slower worker has free slots

  Scenario: This process is slow to look
    Given runs on a worker with an event every 30 ms and a slower worker with free slots
    When the worker sends nothing and this process checks the runs only every 0.4 s
    Then as many runs are moved as the slower worker has free slots

  Scenario: Runs whose threads have not begun
    Given runs that were just submitted to a worker and a slower worker with free slots
    When this process checks the runs for 0.3 s
    Then no run is moved
    When the worker sends nothing while this process checks the runs for another 0.5 s
    Then as many runs are moved as the slower worker has free slots

  Scenario: The whole process stands still when texts are nearly whole
    Given a leader with model workers and scorers
    And the first worker emits an event every 300 ms and the other one every 30 ms
    And this process stalls for 500 ms when the other worker has emitted event 56 of a text
    When a job of 4 items in 2 groups is accepted
    And its results are recorded and another job of 12 items with long texts is accepted
    Then every item of the later job is complete and the slow worker finished none of them
