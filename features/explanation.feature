Feature: The logs of several processes tell what became of a request
  Lines of any number of processes are parsed, with any prefix before them, and sorted by time.

  Scenario Outline: A request that failed
    Given log lines in which request "r-1" was given up because of "<cause>" after attempts that <attempts>
    Then the explanation of "r-1" says "<said>"

    Examples:
      | cause            | attempts | said                                          |
      | workers_full     | refused  | reported no capacity and had not run it       |
      | no_worker        | refused  | no worker of the route's service was listed   |
      | no_answer        | unknown  | returned no complete answer                   |
      | timeout          | unknown  | the route's timeout or the client's deadline  |
      | no_configuration | refused  | had no configuration yet                      |

  Scenario: A request that was refused while a zone is evacuated
    Given log lines of a gateway that learns of evacuations and refuses a request half a minute later
    Then the explanation names the evacuation in force, and not the one that has ended
    And it says that the request was not sent because of the evacuation

  Scenario: A batch job whose group came late
    Given log lines of a job with an interrupted run, a change of leader and a late item
    Then the explanation of "j-1" says "2 of 2 items listed"
    And the explanation of "j-1" says "i-2 after 9.0 s"
    And the explanation of "j-1" says "1 x OSError"
    And the explanation of "j-1" says "moved meanwhile to store-b"

  Scenario: An item that is given up without a run
    Given log lines of an item that failed 5 times in earlier jobs and is listed as dead
    Then the explanation of "i-1" says "listed dead without a run; 5 answers of 500 or 422"

  Scenario: A batch job whose groups were held up
    Given log lines of a job with a group that waited, one that was moved and one that never completed
    Then the explanation of "j-4" says "group g-1 was complete after 4.0 s (waited 3.0 s for a slot"
    And the explanation of "j-4" says "group g-2 was complete after 5.0 s (an output of 60 events"
    And the explanation of "j-4" says "moved 1 x (silent), 1 x ended here"
    And the explanation of "j-4" says "group g-3 was never complete (an output of 9 events, 1 x refused)"

  Scenario: A worker that was set aside
    Given log lines of a worker that two gateways set aside and that returned at one of them
    Then the explanation of "i-1" says "was set aside 2 times by 2 gateways (2 x failing), first on gateway-a"
    And the explanation of "i-1" says "3.1 failed and 1.2 served with a median of 54 ms, compared with 0.0 for the other workers"
    And the explanation of "i-1" says "it returned 1 times, last on gateway-b"
    And the explanation of "r-1" includes a worker that was set aside in the same period

  Scenario: A batch job that competed with others for engines
    Given log lines of a job that competes with other steps and cannot complete all groups in time
    Then the explanation of "j-5" says "after 2.0 s, 5.5 s before it was due, 3 of the 5 groups"
    And the explanation of "j-5" says "for 2 steps on 40 slots at 46 ms per event"

  Scenario: A job that was refused, and ids that nobody knows
    Given log lines in which job "j-2" was not accepted
    Then the explanation of "j-2" says "was not accepted"
    And the explanation of "j-3" says "No log line mentions j-3"

  Scenario: A request whose process died with it
    Given log lines of a process that was killed and started again
    Then the explanation of "r-7" says "No log line mentions r-7"
    And the explanation of "r-7" says "gateway-a (started again at 2026-01-01T00:00:05"

  Scenario: The command reads files and standard input
    Given log lines in which request "r-1" was given up because of "timeout" after attempts that unknown
    Then the command "explain r-1 --log FILE" prints the lines in order and the summary
    And the command "explain r-9 --log FILE" fails with an error that names the id
