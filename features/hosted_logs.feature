Feature: Logs are bounded and never hold a request up
  A writer thread writes queued lines. Each event has a rate limit; dropped lines are counted and
  reported, and lines that report a final failure are always written.

  Scenario: A reader that stops reading
    Given logs written to a pipe that is not read
    When 20000 lines are emitted, of which 50 report a final failure
    Then emitting never blocked on the reader
    When the reader resumes
    Then it gets the 50 final failures, and the number of dropped lines

  Scenario: A burst of one event
    Given logs written to a pipe that is read
    When one event is emitted 5000 times within a second and another one 10 times
    Then all 10 lines of the other event are written
    And the written and dropped lines of the first add up to 5000

  Scenario: Each line is one JSON object with its event's fields
    Given logs written to a pipe that is read
    When a request that was given up is logged
    Then its line has its code, name, node, request id, cause and time

  Scenario: The address of the figures is taken
    Given a hosted deployment whose store machine finds its metrics address in use
    Then it serves the ledger and logs that the metrics are unavailable
    When the metrics address is free again
    Then it serves its metrics there
