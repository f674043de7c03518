Feature: Results by arm of the whole cluster
  Each node counts what it serves; one node writes the sums into the comparison's status.

  Scenario: The status has the sums of all nodes
    Given routing's results over 5 nodes in 2 zones
    When routing's results are counted on every node
    Then routing's results in the status equal what was counted

  Scenario: Lost messages, lost answers and lost writes' answers change no sum
    Then routing's results are exact under any faults of messages and of the store

  Scenario: A planned stop of any node, the reporter too, loses nothing
    Then routing's results are exact under any planned stops

  Scenario: The sudden loss of a node loses what was not written, and counts nothing twice
    Then routing's results after sudden losses miss only what the lost nodes held

  Scenario: The status is written seldom
    Given routing's results over 5 nodes in 2 zones
    When routing's results are counted on every node for 100 seconds
    Then routing's results were written at most 11 times
    And routing's results are not written while nothing changes

  Scenario: A comparison that was deleted and made anew begins at nothing
    Given routing's results over 5 nodes in 2 zones
    When routing's results are counted on every node
    And routing's comparison of the results is deleted before they are written
    Then routing's results of the new comparison begin at nothing

  Scenario: A report of unknown fate is not sent to another node
    Given routing's results over 3 nodes in 1 zones
    When routing's results of a node are taken and written while all its answers are lost
    And routing's reporter of the results is lost
    Then routing's results in the status equal what was counted

  Scenario: A reporter whose configuration is late writes over nothing
    Given routing's results over 3 nodes in 1 zones
    When routing's reporter is lost after a write that the next reporter does not see yet
    Then routing's results in the status equal what was counted

  Scenario: A write of unknown fate is not passed on at a stop
    Given routing's results over 3 nodes in 1 zones
    When routing's reporter stops while it does not know that its write took effect
    Then routing's results in the status equal what was counted

  Scenario: The last node to stop writes what is left
    Given routing's results over 3 nodes in 1 zones
    When routing's results are counted on every node
    And routing's nodes of the results stop one after the other
    Then routing's results in the status equal what was counted

  Scenario: A status report on an older version is refused
    Given a resource node with policy "north"
    Then routing's status reports by version are refused on any other version than the newest

  Scenario: Results of three real nodes, one of which stops
    Given a whole system of 3 nodes and 2 engines
    When routing's whole-system comparison gets 5 completions on each node
    Then routing's whole-system status comes to 15 completed
    When routing's whole-system comparison gets 5 completions on each node
    And routing's whole-system reporter stops by SIGTERM at once
    Then routing's whole-system status comes to 30 completed

  Scenario: Times of an arm include the engine's time to begin
    Given routing over 3 engines and 1 application workers
    And routing's comparison of versions 1 and 2 over engines of both
    When routing's engines take 0.02 s to begin an answer
    And routing generates for 10 units
    Then routing's times by arm are at least 0.02 s a generation
