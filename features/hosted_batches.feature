Feature: Batch jobs keep what they have shown
  A job is kept once it is accepted. Each item's first result takes the next position, and nothing
  that was shown at a position ever changes.

  Scenario: Commands in any order, again and again, and through snapshots
    Then a batch job's positions never change, and each item stands at one position only

  Scenario: Events cut anywhere
    Then an event stream cut into any pieces gives the same whole events

  Scenario: Runs of an item that break and overlap
    Then an item's text is whole, in order and of the versions that made it

  Scenario Outline: An item through troubles at the workers
    Given a leader with model workers and scorers
    And <trouble>
    When a job of 6 items in 3 groups is accepted
    Then every item is listed completed, with its whole text, its versions and its score

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
    Then every item is listed completed, with its whole text, its versions and its score
    And 30 of the runs went to "llm" and 10 to "llm-next"

  Scenario: A service of a split route that has no worker
    Given a leader whose route gives 3 parts to "llm" and 1 part to "llm-none"
    When a job of 6 items in 3 groups is accepted
    Then every item is listed completed, with its whole text, its versions and its score

  Scenario: A worker that loads weights
    Given a leader with model workers and scorers
    And the workers stream slowly
    And a worker that refuses all runs for a second
    When a job of 24 items in 6 groups is accepted
    Then every item is listed completed, with its whole text, its versions and its score
    And the worker refused at most 20 runs, and took some after that

  Scenario: A worker is told of to load weights
    Given a leader with model workers and scorers
    And the workers stream slowly
    And a worker that refuses all runs for a second, which is told of
    When a job of 24 items in 6 groups is accepted
    Then every item is listed completed, with its whole text, its versions and its score
    And the worker refused no run, and took some after that

  Scenario: A load that is told of, and refusals, in any order
    Then nothing is sent while a load is told of, and one run at a time after it until one is taken

  Scenario: Runs that are refused, taken, lost and cancelled in any order
    Then after a refusal one run at a time is sent until the worker takes one

  Scenario: An item that always fails
    Given a leader with model workers and scorers
    And both model workers fail every request
    When a job of 2 items in 1 groups is accepted
    Then every item is listed dead after 3 answers of 500

  Scenario: Workers that say they are well and fail everything
    Given a leader with 8 model workers and scorers
    And 3 of the model workers fail every request
    And the workers stream slowly
    When a job of 96 items in 12 groups is accepted
    Then every item is listed completed, with its whole text, its versions and its score

  Scenario: An item that always fails, beside workers that fail everything
    Given a leader with 8 model workers and scorers
    And 3 of the model workers fail every request
    And one item fails at every worker
    When a job of 96 items in 12 groups is accepted
    Then the item that always fails is listed dead after 3 to 5 answers of 500, and no other one

  Scenario: A scorer that says it is well and fails everything
    Given a leader with model workers and scorers
    And a scorer fails every request
    When a job of 24 items in 6 groups is accepted
    Then every item is listed completed, with its whole text, its versions and its score

  Scenario: An item that no worker may run now
    Given a leader with model workers and scorers
    And the first item finds no worker since all of them failed it
    When a job of 24 items in 6 groups is accepted
    Then every other item is listed completed

  Scenario: A text of one version, which no worker has any more
    Given a leader with model workers and scorers
    Then a text of an older version, on a route that wants one version, begins anew

  Scenario: Answers of workers in any order
    Then a worker is set aside only while it fails all and fellows don't, and is tried again
    And an item is given up for answers of workers that serve others, and never tried too often

  Scenario: A job that is ended
    Given a leader with model workers and scorers
    And the workers stream slowly
    When a job of 6 items in 3 groups is accepted
    And it is ended while it runs
    Then nothing of it is running at the workers and no new item begins
    And no worker is passed over for the runs that were ended

  Scenario: Items that come again in a later job go on where they were
    Given a leader with model workers and scorers
    And the workers stream slowly
    When a job of 4 items in 2 groups is accepted
    And it is ended once each item has some events, and its items come again in a later job
    Then every item of the later job is whole, gone on with behind what was kept

  Scenario: Items that come again although they are listed are only scored again
    Given a leader with model workers and scorers
    When a job of 4 items in 2 groups is accepted
    And every item is listed and its items come again in a later job
    Then every item of the later job is whole, without another run of its text

  Scenario: Items that come again in a job that wants newer versions begin anew
    Given a leader with model workers and scorers
    When a job of 4 items in 2 groups is accepted
    And every item is listed and its items come again in a later job that wants version 3
    Then every item of the later job is whole and of version 3

  Scenario: Parts of texts in any order, again and again, and through snapshots
    Then the parts that are kept of a text always join, from its first event on

  Scenario: Another leader goes on with texts in the making
    Given a leader with model workers and scorers
    And the workers stream slowly
    And parts of texts are kept every 0.4 seconds
    When a job of 4 items in 2 groups is accepted
    And another node leads once a part of each text is kept
    Then every item is listed completed, with its whole text, its versions and its score
    And every text went on behind what was kept

  Scenario Outline: A result goes on behind kept parts, or comes whole where the log lacks them
    Given a leader with model workers and scorers
    And the workers stream slowly
    And parts of texts are kept every 0.4 seconds
    And <parts> of them reach the log
    When a job of 4 items in 2 groups is accepted
    Then every item is listed completed, with its whole text, its versions and its score
    And the results sent <what>

    Examples:
      | parts | what                          |
      | all   | only what no kept part had    |
      | none  | whole texts after a first try |

  Scenario: A node that no longer leads
    Given a leader with model workers and scorers
    And the workers stream slowly
    When a job of 6 items in 3 groups is accepted
    And another node leads
    Then nothing of it is running at the workers and no new item begins

  Scenario: Calls of a trainer at a gateway
    Given a gateway before a ledger
    When a trainer hands in a job
    Then it is accepted with 202, and again when it comes again
    And its results are read from any position, its bodies until they are listed
    And it is ended with 200, as often as that is asked

  Scenario: A job larger than one command of the ledger
    Given a gateway before a ledger
    When a trainer hands in a job of 40 items with bodies of 60000 bytes
    Then it is accepted with 202, and again when it comes again
    And the ledger's commands were all small and the job has its 40 items

  Scenario: What a gateway has shown it shows again without the ledger
    Then readings in any order show the ledger's results, and known positions need no ledger

  Scenario: Results come from the replica of the reader's zone, as far as it has them
    Then readings show what the zone's replica has and what only the leader has, as one list

  Scenario: Texts are packed between nodes and whole where a client reads them
    Then any text comes back as it was, also one that an earlier release kept
    And a page of texts that pack well is no longer than one of others

  Scenario: A ledger that does not answer
    Given a gateway before a ledger
    Then a job is refused with 503 only while it is surely not kept
