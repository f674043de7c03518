Feature: Results by arm of the whole cluster
  Each node counts the generations it serves; the reporter writes the totals to the
  comparison's status.

  Scenario: The status has the sums of all nodes
    Given arm results over 5 nodes in 2 zones
    When generations of the comparison are served on every node
    Then the arm results in the status equal the served generations

  Scenario: Lost messages, lost answers and lost writes' answers change no sum
    Then the arm results are exact under any message and store faults

  Scenario: A planned stop of any node, the reporter too, loses nothing
    Then the arm results are exact under any planned stops

  Scenario: The sudden loss of a node loses what was not written, and counts nothing twice
    Then the arm results after node crashes lack only the pending counts of the crashed nodes

  Scenario: The status is written seldom
    Given arm results over 5 nodes in 2 zones
    When generations of the comparison are served on every node for 100 seconds
    Then the arm results were written at most 11 times
    And the arm results are not written while no generations are served

  Scenario: A comparison that was deleted and made anew begins at nothing
    Given arm results over 5 nodes in 2 zones
    When generations of the comparison are served on every node
    And the comparison is deleted before its arm results are written
    Then the arm results of a new comparison of the same name start at zero

  # Guards against counts of a node's earlier start that come again after its restart.
  Scenario: A report that comes again after its sender has started anew
    Then reports that arrive again in any order, of any start of their sender, count once

  Scenario: A report of unknown fate is not sent to another node
    Given arm results over 3 nodes in 1 zones
    When a node's arm results are accepted and written while all answers to it are lost
    And the reporter of the arm results crashes
    Then the arm results in the status equal the served generations

  Scenario: A reporter whose configuration is late writes over nothing
    Given arm results over 3 nodes in 1 zones
    When the reporter crashes after a write that is not yet visible to the next reporter
    Then the arm results in the status equal the served generations

  Scenario: A write of unknown fate is not passed on at a stop
    Given arm results over 3 nodes in 1 zones
    When the reporter stops after a successful write whose answer was lost
    Then the arm results in the status equal the served generations

  Scenario: The last node to stop writes what is left
    Given arm results over 3 nodes in 1 zones
    When generations of the comparison are served on every node
    And the nodes with arm results stop one after the other
    Then the arm results in the status equal the served generations

  Scenario: A status report on an older version is refused
    Given a resource node with policy "north"
    Then conditional status reports are refused unless they name the newest version

  Scenario: Results of three real nodes, one of which stops
    Given a whole system of 3 nodes and 2 engines
    When the whole system's comparison serves 5 completions on each node
    Then the whole system's arm results reach 15 completed
    When the whole system's comparison serves 5 completions on each node
    And the whole system's reporter is stopped by SIGTERM immediately
    Then the whole system's arm results reach 30 completed

  Scenario: Times of an arm include the engine's time to begin
    Given routing over 3 engines and 1 application workers
    And routing's comparison of versions 1 and 2 over engines of both
    When the routing engines delay each answer by 0.02 s
    And routing generates for 10 units
    Then the arm times are at least 0.02 s per generation
