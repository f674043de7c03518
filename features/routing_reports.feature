Feature: Reports of back ends from their owners
  A worker is probed by its owner; the nodes that route over it are told, or look for themselves.

  Background:
    Given routing nodes 0 to 3 over 4 application workers that node 0 to 3 own in turn

  Scenario: Only the owner probes
    When routing's nodes tick for 20 s
    Then routing's workers were probed once a round

  Scenario: A worker's own word reaches all nodes with the owner's next probe
    When routing's worker app-1 says that it leaves and node 1 ticks once
    Then all routing nodes know that app-1 leaves

  Scenario: When an owner falls silent the others look for themselves
    When routing's node 2 falls silent and app-2 stops being ready
    And routing's nodes but 2 tick for 8 s
    Then routing's nodes but 2 know that app-2 is not ready

  Scenario: A worker that only its owner can't reach is used by the others
    When routing's node 3 can't reach app-3
    And routing's nodes tick for 3 s
    Then routing's nodes but 3 find app-3 ready

  Scenario: Whatever is lost, changed or moved, the views come back to the truth
    Then routing's views converge after any losses, changes and moves of ownership

  Scenario Outline: Drafts of one node keep out of the way of another node's callers
    When routing's node <node> uses app-2 for a caller and the nodes tick for 2 s
    Then all routing nodes know that callers use app-2

    Examples: another node than the owner, and the owner
      | node |
      | 0    |
      | 2    |

  Scenario: An owner sends less often to more subscribers
    Then routing's owner stays within its bytes for any number of subscriptions
