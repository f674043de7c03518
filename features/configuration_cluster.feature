Feature: Configuration and resources over real connections
  Nodes with real transports and memberships before the object API stand-in.

  Scenario: One reader a zone, and a change accepted anywhere is in force everywhere
    Given a control cluster of 6 nodes in 3 zones
    When 30 policies are created through all control nodes in turn
    Then the newest revision comes into force on every control node
    And the object API never had more than 3 watches of control nodes at once
    And no control node's listener saw a revision go back

  Scenario: Another node reads when the reader of a zone ends
    Given a control cluster of 3 nodes in 1 zones
    And every control node has a policy in force
    When the control node that reads ends and another policy is created
    Then the newest revision comes into force on every control node

  Scenario: The store is down: the cluster keeps its configuration and a fresh node learns it
    Given a control cluster of 2 nodes in 2 zones
    And every control node has a policy in force
    And the control cluster's store is down
    When a fresh control node starts with the others as seeds
    Then the newest revision comes into force on every control node
    And a write through the fresh control node is refused as without effect
    When a lone control node starts that knows nobody
    Then the lone control node is not ready

  Scenario: A lost answer is read back
    Given a control cluster of 2 nodes in 2 zones
    When the control cluster's store loses the answer to the next write and a policy is created
    Then the creation is reported as done and has taken effect once

  Scenario: Operators race on every node while answers are lost
    Given a control cluster of 3 nodes in 3 zones
    When 6 operators on all control nodes race to replace one policy while answers are lost
    Then every reported outcome agrees with the store's own record
    And the newest revision comes into force on every control node

  Scenario: Status says on how many nodes a resource is in force, and who is missing
    Given a control cluster of 4 nodes in 2 zones
    And every control node has a policy in force
    Then the policy's status says that it is in force on 4 of 4 control nodes
    When one control node is cut off and the policy is changed
    Then the policy's status says that the cut-off control node is missing
    When the control node's cut is over
    Then the policy's status says that it is in force on 4 of 4 control nodes
    And the store has settled: no control node writes any more

  Scenario: The machine list is spread like the resources, and helps a lone node to its cluster
    Given a control cluster of 4 nodes in 2 zones
    When the platform lists the control nodes and 200 workers
    Then every control node has the platform's machine list in force
    When the platform changes one machine and removes another
    Then every control node has the platform's machine list in force
    When a control node starts that knows nobody but the machine list
    Then every control node sees 5 members

  Scenario: A listener that takes its time holds up no change on other nodes
    Given a control cluster of 3 nodes in 1 zones
    And a listener of every control node that waits until it is let go
    When a policy is created, the control listeners wait, and another policy is created
    Then the newest revision comes into force on every control node
    When the control nodes' listeners are let go
    Then no control node's listener saw a revision go back
