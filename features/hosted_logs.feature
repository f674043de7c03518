Feature: Logs are bounded and never hold a request up
  Lines go to a writer's queue. Each event may write so many lines a second; what is left out is
  counted and told, and the lines that tell a final failure are always written.

  Scenario: A reader that stops reading
    Given logs that go to a pipe which nobody reads
    When 20000 lines are emitted, of which 50 tell a final failure
    Then emitting never waited for the reader
    When the reader reads again
    Then it gets the 50 final failures, and the count of what was left out

  Scenario: A burst of one event
    Given logs that go to a pipe which is read
    When one event is emitted 5000 times within a second and another one 10 times
    Then the other one's 10 lines are all there
    And the lines of the first and their left-out count make 5000

  Scenario: Each line is one JSON object with its event's fields
    Given logs that go to a pipe which is read
    When a request that was given up is logged
    Then its line tells its code, name, node, request id, cause and time

  Scenario: The address of the figures is taken
    Given a hosted deployment whose store machine finds the address of its figures taken
    Then it keeps the ledger all the same, and says so
    When that address is free again
    Then it shows its figures there
