Feature: Weight versions on engines
  A version that a policy names reaches every engine of its pools by fenced orders, while enough
  engines go on serving.

  Scenario: A new version rolls out above the floor with few reads from the store
    Given a weights pool of 12 engines with floor 0.5, owned by 3 nodes
    When weights version 2 is declared
    Then all weights engines hold version 2
    And at least 6 weights engines served all the time
    And at most 3 weights were read from the store
    And each weights engine was ordered to hold version 2 once

  Scenario: A pool of one engine still gets a new version
    Given a weights pool of 1 engines with floor 1.0, owned by 1 nodes
    When weights version 2 is declared
    Then all weights engines hold version 2

  Scenario: A swap that fails partway is tried again
    Given a weights pool of 3 engines with floor 0.5, owned by 1 nodes
    And weights engine-1 fails its next 2 swaps
    When weights version 2 is declared
    Then all weights engines hold version 2
    And weights engine-1 has been ordered 3 times

  Scenario: A swap that hangs holds up no other engine
    Given a weights pool of 5 engines with floor 0.5, owned by 2 nodes
    And weights engine-1 never finishes a swap
    When weights version 2 is declared
    Then all weights engines but engine-1 hold version 2

  Scenario: A version that the store does not hold changes no engine
    Given a weights pool of 3 engines with floor 0.5, owned by 1 nodes
    And a weights store without version 2
    When weights version 2 is declared
    Then no weights engine is ordered to hold version 2
    And weights version 3 being declared, all engines hold it

  Scenario: A paused owner does not undo a newer order
    Given a weights pool of 4 engines with floor 0.5, owned by 2 nodes
    And node-1 believes that it owns all weights engines and hears of no newer configuration
    When weights version 2 is declared
    Then all weights engines hold version 2
    And no weights engine is ordered back to version 1

  Scenario: Orders late, lost, failed and from two owners at once
    Then weights orders and engines agree whatever happens

  Scenario: A pool that has lost engines goes below its floor one engine at a time
    Given a weights rollout of 4 engines with floor 0.5 waiting 30 s at most
    When 2 weights engines are leaving
    Then no weights swap is permitted before 30 s have passed
    And after that one weights swap at a time is permitted

  Scenario: Status written during a rollout starts no swap again
    Given a weights pool of 4 engines with floor 0.5, owned by 2 nodes
    When weights version 2 is declared, and the policy's status is written again and again
    Then all weights engines hold version 2
    And each weights engine has begun 1 swap

  Scenario: Adapters and roles change without a swap
    Given a weights pool of 4 engines with floor 0.5, owned by 2 nodes
    When weights adapters "french, german" and the role "draft" are declared
    Then all weights engines have the adapters "french, german" and the role "draft"
    And no weights were read from anywhere

  Scenario: Operators see how far a rollout is
    Given a weights pool of 6 engines with floor 0.5, owned by 3 nodes
    And a resource store that refuses the next 1 weights reports
    When weights version 2 is declared
    Then all weights engines hold version 2
    And the weights pool's condition RolledOut becomes true
    And at most 6 weights reports were written
