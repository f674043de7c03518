Feature: Training steps
  A trainer declares a step of numbered slots and pulls one sample for each slot, once,
  with the weight versions that produced it.

  Scenario: A step is generated, scored, pulled and acknowledged
    Given a samples cluster of 2 nodes
    When a samples step of 3 prompts with 2 samples each and a scorer is declared
    Then the samples step delivers 6 scored samples, one for each slot
    And each samples segment list covers all tokens and names version 1
    And the samples step is complete once all is acknowledged

  Scenario: A repeated pull gives the same samples in the same order
    Given a samples cluster of 2 nodes
    When a samples step of 4 prompts with 1 samples each and no scorer is declared
    Then pulling samples from every cursor again gives the same samples

  Scenario: Declaring a step again
    Given a samples cluster of 1 nodes
    When a samples step of 1 prompts with 1 samples each and no scorer is declared
    Then declaring the same samples step again is no error
    And declaring it with other samples contents is a conflict
    And a samples step with several faults reports all of them

  Scenario: A cancelled step ends its generations
    Given a samples cluster of 1 nodes
    And samples engines that hold every generation
    When a samples step of 2 prompts with 2 samples each and no scorer is declared
    And the samples step is cancelled
    Then every samples generation is cancelled on its engine
    And pulling samples from the start says that none will follow

  Scenario: Engines that refuse or break off are tried again
    Given a samples cluster of 1 nodes
    And samples engines that first refuse and then break off
    When a samples step of 2 prompts with 1 samples each and no scorer is declared
    Then the samples step delivers 2 unscored samples, one for each slot

  Scenario: Another node leads in the middle of a step
    Given a samples cluster of 2 nodes
    And samples engines that hold every generation
    When a samples step of 2 prompts with 2 samples each and no scorer is declared
    And node-2 leads the samples shards while 4 generations run
    And the samples engines go on
    Then the samples step delivers 4 unscored samples, one for each slot
    And the samples engines ran 4 generations in all

  Scenario: The leader is killed in the middle of a step
    Given a samples cluster of 2 nodes
    And samples engines that hold every generation
    When a samples step of 2 prompts with 2 samples each and no scorer is declared
    And node-1 is cut off from the samples cluster while 4 generations run, and node-2 leads
    Then node-2 runs all samples slots that node-1 had
    And the samples engines go on
    And the samples step delivers 4 unscored samples, one for each slot
    And what the cut-off node commits when it comes back changes no samples slot

  Scenario: A node stops as planned in the middle of a step
    Given a samples cluster of 2 nodes
    And samples engines that hold every generation after 2 tokens
    When a samples step of 4 prompts with 2 samples each and no scorer is declared
    And node-1 stops as planned while it runs samples, and node-2 leads
    Then node-2 goes on with the samples tokens that node-1 had
    And the samples engines go on
    And the samples step delivers 8 unscored samples, one for each slot

  Scenario: Answers of the ledger are lost
    Given a samples cluster of 2 nodes
    And a samples ledger that loses every second answer and refuses every third command
    When a samples step of 4 prompts with 2 samples each and a scorer is declared
    Then the samples step delivers 8 scored samples, one for each slot
    And pulling samples from every cursor again gives the same samples

  Scenario: Long prompts and answers stay out of the log
    Given a samples cluster of 2 nodes
    And a samples segment store that fails each call once
    And samples engines that give 200 tokens
    When a samples step of 3 prompts with 2 samples each and a scorer is declared
    Then the samples step delivers 6 scored samples, one for each slot
    And no command in the samples ledger is longer than 1500 bytes

  Scenario: Commands late, repeated, reordered and from two nodes at once
    Then samples steps agree with a simple oracle whatever happens

  Scenario: A slow scorer holds no generation up
    Given a samples cluster of 1 nodes that run 1 generations at once
    And a samples scorer that does not answer
    When a samples step of 3 prompts with 1 samples each and a scorer is declared
    Then all 3 samples are filled before one of them is scored
    And after the samples scorer answers, 3 samples are delivered

  Scenario: A sample that goes on over a swap names both versions
    Given a samples cluster of 1 nodes
    And samples engines that hold every generation after 2 tokens
    When a samples step of 1 prompts with 1 samples each, stale after 1 versions, is declared
    And samples version 2 is published and swapped in while 1 generations run
    And the samples engines go on
    Then the samples delivered name the versions "1, 2"

  Scenario: A sample that a swap makes stale is started again at once
    Given a samples cluster of 1 nodes
    And samples engines that hold every generation after 2 tokens
    When a samples step of 2 prompts with 1 samples each, stale after 0 versions, is declared
    And samples version 2 is published and swapped in while 2 generations run
    Then every samples generation of version 1 is cancelled
    And the samples engines go on
    And the samples delivered name the versions "2"

  Scenario: A sample that ages before it is pulled is made again, one that was pulled stays
    Given a samples cluster of 1 nodes
    When a samples step of 2 prompts with 1 samples each, stale after 0 versions, is declared
    And 1 of 2 filled samples is pulled
    And samples version 2 is published and swapped in
    Then 1 samples slot is regenerated by version 2
    And the samples pulled before stay as they are

  Scenario: An engine that falls silent has its samples run a second time within the budget
    Given a samples cluster of 2 nodes with a duplicate budget of 0.25
    And samples engines that hold the prompt "prompt 1" until it is run again
    When a samples step of 4 prompts with 1 samples each and no scorer is declared
    Then the samples step delivers 4 unscored samples, one for each slot
    And the samples engines ran 5 generations in all
    And both samples generations of "prompt 1" had the same seed
    And the loser of the samples generations of "prompt 1" was cancelled

  Scenario: A slow engine's samples are moved with their tokens
    Given a samples cluster of 1 nodes
    And a samples engine that is 20 times slower than the others
    When a samples step of 6 prompts with 1 samples each and no scorer is declared
    Then the samples step delivers 6 unscored samples, one for each slot
    And a samples generation went on elsewhere with the tokens it had

  Scenario: The scorer's node dies before it has scored
    Given a samples cluster of 2 nodes
    And a samples scorer that does not answer
    When a samples step of 2 prompts with 1 samples each and a scorer is declared
    And all samples are filled, and node-1 is cut off before they are scored
    Then after the samples scorer answers, 2 samples are delivered

  Scenario: Longest expected first
    Then samples of prompts that ran long before start first
    And expected samples lengths agree with a numerical integral
    And publication times are foreseen from their cadence
    And samples rates forget what was before a pause
