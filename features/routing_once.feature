Feature: Requests that must not be repeated
  A key runs at most once within its window, whichever nodes its request and repeats reach.

  Background:
    Given routing of once requests over 3 nodes and 3 application workers

  Scenario: At most once under losses, kills, pauses and repeats at every point
    Then routing runs each key at most once and reports its state correctly under losses, kills, pauses

  Scenario Outline: What a request that must not be repeated is told
    When routing is sent an order <first>, and then through another node <second>
    Then routing's second answer is <answer> and the orders ran <runs> times

    Examples:
      | first                      | second                     | answer                | runs |
      | with key k                 | with key k                 | the first's, replayed | 1    |
      | with key k                 | for another item with key k        | key_mismatch not_run  | 1    |
      | without a key              | without a key              | key_missing not_run   | 0    |
      | with key k                 | a window later with key k  | key_expired unknown   | 1    |
      | with key k, answer lost    | with key k                 | backend_failed unknown | 1   |
      | with key k, ledger down    | with key k                 | its own               | 1    |
      | with key k                 | with key k, ledger down    | ledger_unavailable unknown | 1 |
      | with key k, workers dead   | with key k                 | its own               | 1    |
      | with key k                 | with key k, draining       | draining unknown      | 1    |
      | with key j                 | with key k, draining       | draining not_run      | 1    |
      | with key k                 | with key k, not configured | no_backend unknown    | 1    |
      | with key j                 | with key k, not configured | no_backend not_run    | 1    |
      | with key k, claim answers lost | with key k             | its own               | 1    |

  Scenario: A stop does not wait for a ledger without a majority
    Given routing holds 50 outcomes that a ledger without a majority cannot record
    When routing's recording task is stopped during an attempt to record
    Then routing's recording task ends after that attempt

  Scenario: A pool that makes keys serves orders that bring none
    Given routing's pool generates keys
    When routing is sent an order without a key, and then through another node without a key
    Then routing's second answer is its own and the orders ran 2 times

  Scenario Outline: A node that fails or pauses on the way
    When routing's node 0 <what> <point>, and node 1 gets the same key <when>
    Then routing's first answer is <first>, the second is <second> and the key ran <runs> times

    Examples:
      | what                    | point          | when       | first            | second                 | runs |
      | is killed               | after the claim | after it  | none             | key_in_progress unknown | 0   |
      | is killed               | after the run  | after it   | none             | key_in_progress unknown | 1   |
      | is killed               | after the record | after it | none             | the first's            | 1    |
      | is paused for 9 windows | after the claim | meanwhile | deadline not_run | its own                | 1    |
      | is paused for 1.5 windows | after the claim | meanwhile | deadline not_run | key_expired unknown    | 0    |
      | is paused for 1.5 windows | after the run  | meanwhile  | its own          | key_expired unknown    | 1    |
