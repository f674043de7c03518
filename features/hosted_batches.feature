Feature: Batch jobs keep what they have shown
  An accepted job is durable. The first result of an item takes the next position, and a position
  never changes.

  Scenario: Commands in any order, again and again, and through snapshots
    Then a batch job's positions never change, and each item has one position

  Scenario: Events cut anywhere
    Then an event stream split at any bytes yields the same events

  Scenario: Runs of an item that break and overlap
    Then an item's text has no gaps, and lists the weight versions that generated it

  Scenario Outline: An item through troubles at the workers
    Given a leader with model workers and scorers
    And <trouble>
    When a job of 6 items in 3 groups is accepted
    Then every item has a completed result with its full text, versions and score

    Examples:
      | trouble                              |
      | no trouble                           |
      | a worker refuses 3 requests          |
      | a worker loses 2 answers             |
      | a worker breaks a stream off         |
      | a scorer loses 2 answers             |
      | a scorer fails once                  |
      | a worker whose weights are too old   |

  Scenario: A route whose requests are split between services
    Given a leader whose route gives 3 parts to "llm" and 1 part to "llm-next"
    When a job of 40 items in 10 groups is accepted
    Then every item has a completed result with its full text, versions and score
    And 30 of the runs went to "llm" and 10 to "llm-next"

  # Guards against a leader that leads on and runs nothing any more.
  Scenario: An exception in the coordination of jobs, and one in the commits of results
    Given a leader with model workers and scorers
    And one look at the workers and one commit of results raise
    When a job of 6 items in 3 groups is accepted
    Then every item has a completed result with its full text, versions and score

  Scenario: A service of a split route that has no worker
    Given a leader whose route gives 3 parts to "llm" and 1 part to "llm-none"
    When a job of 6 items in 3 groups is accepted
    Then every item has a completed result with its full text, versions and score

  Scenario: A worker that loads weights
    Given a leader with model workers and scorers
    And the workers stream slowly
    And a worker that refuses all requests for a second
    When a job of 24 items in 6 groups is accepted
    Then every item has a completed result with its full text, versions and score
    And the worker refused at most 20 requests, and served some later

  Scenario: A worker announces that it loads weights
    Given a leader with model workers and scorers
    And the workers stream slowly
    And a worker that refuses all requests for a second, and announces a weight load
    When a job of 24 items in 6 groups is accepted
    Then every item has a completed result with its full text, versions and score
    And the worker refused no request, and served some later

  Scenario: Announced weight loads and refusals in any order
    Then no request is sent in an announced weight load, then one at a time until one is accepted

  Scenario: Runs that are refused, taken, lost and cancelled in any order
    Then after a refusal one request at a time is sent until the worker accepts one

  Scenario: An item that always fails
    Given a leader with model workers and scorers
    And both model workers fail every request
    When a job of 2 items in 1 groups is accepted
    Then every item has a dead result after 3 answers of status 500

  Scenario: Workers that say they are well and fail everything
    Given a leader with 8 model workers and scorers
    And 3 of the model workers fail every request
    And the workers stream slowly
    When a job of 96 items in 12 groups is accepted
    Then every item has a completed result with its full text, versions and score

  Scenario: An item that always fails, beside workers that fail everything
    Given a leader with 8 model workers and scorers
    And 3 of the model workers fail every request
    And one item fails at every worker
    When a job of 96 items in 12 groups is accepted
    Then only the item that always fails has a dead result, after 3 to 5 answers of status 500

  Scenario: A scorer that says it is well and fails everything
    Given a leader with model workers and scorers
    And a scorer fails every request
    When a job of 24 items in 6 groups is accepted
    Then every item has a completed result with its full text, versions and score

  Scenario: An item that no worker may run now
    Given a leader with model workers and scorers
    And the first item finds no worker since all of them failed it
    When a job of 24 items in 6 groups is accepted
    Then every other item has a completed result

  Scenario: A text of one version, which no worker has any more
    Given a leader with model workers and scorers
    Then a text of an unavailable version, on a single-version route, is restarted

  Scenario: Answers of workers in any order
    Then a worker is quarantined only while it fails all requests and others don't, and probed again
    And an item fails by answers of workers that serve other items, within its maximum of attempts

  Scenario: A job that is ended
    Given a leader with model workers and scorers
    And the workers stream slowly
    When a job of 6 items in 3 groups is accepted
    And it is ended while it runs
    Then none of its items is running, and no new one starts
    And no worker is penalized for the cancelled attempts

  Scenario: Items that come again in a later job go on where they were
    Given a leader with model workers and scorers
    And the workers stream slowly
    When a job of 4 items in 2 groups is accepted
    And it is ended once each item has some events, and a later job submits its items again
    Then every item of the later job is complete, resumed from its cached text

  Scenario: Items that come again although they are listed are only scored again
    Given a leader with model workers and scorers
    When a job of 4 items in 2 groups is accepted
    And every item has a result, and a later job submits its items again
    Then every item of the later job is complete, without another generation

  Scenario: Items that come again in a job that wants newer versions begin anew
    Given a leader with model workers and scorers
    When a job of 4 items in 2 groups is accepted
    And every item has a result, and a later job with minimum version 3 submits its items again
    Then every item of the later job is complete and of version 3

  Scenario: Parts of texts in any order, again and again, and through snapshots
    Then the checkpoints of a text cover its events from the first one on, without gaps

  # Guards against a text that is joined of two runs which know nothing of each other.
  Scenario: A leader is lost at any moment of an item, and what it sent last arrives late
    Then a recorded text consists of runs that each went on where they were asked to

  Scenario: Another leader goes on with texts in the making
    Given a leader with model workers and scorers
    And the workers stream slowly
    And texts are checkpointed every 0.4 seconds
    When a job of 4 items in 2 groups is accepted
    And another node takes over once each text has a checkpoint
    Then every item has a completed result with its full text, versions and score
    And every text resumed from its checkpoints

  Scenario Outline: A result goes on behind kept parts, or comes whole where the log lacks them
    Given a leader with model workers and scorers
    And the workers stream slowly
    And texts are checkpointed every 0.4 seconds
    And <parts> of the checkpoints reach the log
    When a job of 4 items in 2 groups is accepted
    Then every item has a completed result with its full text, versions and score
    And the results sent <what>

    Examples:
      | parts | what                                |
      | all   | only the text after the checkpoints |
      | none  | full texts after a first try        |

  # Guards against results of all jobs that wait behind a command which is refused for ever.
  Scenario: Results larger than one command of the ledger
    Given a ledger whose commands have at most 1048576 bytes, and which holds no checkpoints
    When results of 400000 bytes each, which refer to checkpoints, are committed before a small one
    Then each has its full text in the ledger
    When a result of 2000000 bytes is committed before a small one
    Then the large one has failed, and the small one has its text

  Scenario: A node that no longer leads
    Given a leader with model workers and scorers
    And the workers stream slowly
    When a job of 6 items in 3 groups is accepted
    And another node leads
    Then none of its items is running, and no new one starts

  Scenario: Calls of a trainer at a gateway
    Given a gateway before a ledger
    When a trainer submits a job
    Then it is accepted with 202, and again when it is resubmitted
    And its results can be read from any position, and the bodies of items without a result
    And each request to end it is answered with 200

  Scenario: A job larger than one command of the ledger
    Given a gateway before a ledger
    When a trainer submits a job of 40 items with bodies of 60000 bytes
    Then it is accepted with 202, and again when it is resubmitted
    And the ledger's commands were all small and the job has its 40 items

  # Guards against items that fail at each attempt and are charged to healthy workers.
  Scenario: Items that can't be sent or kept are refused with their job
    Then with any texts in an item, its job is refused or the item can be sent
    And an item that no command of the ledger holds is refused, and larger parts are split

  Scenario: What a gateway has shown it shows again without the ledger
    Then reads in any order return the ledger's results, and cached positions need no ledger

  Scenario: Results come from the replica of the reader's zone, as far as it has them
    Then reads combine the results of the zone's replica with those that only the leader has

  Scenario: Texts are packed between nodes and whole where a client reads them
    Then every text survives compression, also one stored by an earlier release
    And a page of highly compressible texts is no larger than others

  Scenario: A ledger that does not answer
    Given a gateway before a ledger
    Then a job is refused with 503 only if it was certainly not accepted
