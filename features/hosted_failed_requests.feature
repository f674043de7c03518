Feature: Requests of items that failed are recorded over all jobs
  Items come again in later jobs, under the same ids. What failed before counts for the same request
  of the same tenant, whichever job, leader or route runs it.

  Scenario Outline: What a later job takes over
    Given a job whose first item was answered 500 <answers> times
    When a later job has the same items, but <change>
    Then <counted> failures of its first item count there

    Examples:
      | answers | change                   | counted |
      | 3       | nothing else             | 3       |
      | 3       | another step and version | 3       |
      | 3       | other headers            | 3       |
      | 3       | another tenant           | 0       |
      | 3       | another body             | 0       |
      | 3       | another path             | 0       |
      | 3       | another host             | 0       |
      | 3       | another id               | 0       |

  Scenario: A failure that is recorded after its job has ended
    Given a job whose first item was answered 500 1 times
    When the job ends, and 2 more failures of its first item are recorded
    And a later job has the same items, but nothing else
    Then 3 failures of its first item count there

  Scenario: An item that succeeds starts over
    Given a job whose first item was answered 500 2 times
    When its first item is listed as completed
    And a later job has the same items, but nothing else
    Then 0 failures of its first item count there

  Scenario: A reward call and its text are counted apart
    Given a job whose first item was answered 500 2 times
    When 3 failures of its reward call are recorded
    Then 2 failures of its text and 3 of its reward call count

  Scenario: More requests fail than are kept
    Given an open job whose first item failed once, and an ended one whose first item failed once
    When as many requests of other ended jobs fail as are kept
    Then the failure in the open job is kept, and that in the ended one is not
    And no more requests are kept than the bound and those of open jobs

  Scenario: Failures that a replica of an earlier release has saved
    Given a snapshot of an earlier release, in which the first item of an open job failed 2 times
    When a replica of this release loads it
    Then 2 failures of its first item count there

  Scenario: Jobs, failures, results, ends and snapshots in any order
    Then each request has the failures that were recorded since it last succeeded

  Scenario Outline: Which failures end an item
    Given an item whose text failed <texts> times and its reward call <scores> times, 3 attempts each
    When it is in its stage <stage>
    Then its retry limit says that it <ends>

    Examples:
      | texts | scores | stage | ends     |
      | 2     | 2      | text  | goes on  |
      | 3     | 0      | text  | is ended |
      | 0     | 3      | text  | is ended |
      | 3     | 2      | score | goes on  |
      | 3     | 3      | score | is ended |

  # Guards against failures that go with a leader which had one try to record them.
  Scenario Outline: A leader is lost, and nobody else leads for a while
    Given a leader that has lost its place with 2 failures that it has not recorded
    When the ledger answers that <answer> 5 times, and then records
    Then 2 failures of its first item count there

    Examples:
      | answer                    |
      | nobody leads              |
      | the outcome is not known  |
      | it is not known but holds |
