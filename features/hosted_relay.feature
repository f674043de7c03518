Feature: Few nodes of many call the store, and all know what it holds
  Two nodes follow the store and tell the others, in large zones by way of two nodes of each. A node
  whose sources are cut off from the store, or from it, follows the store on its own.

  Scenario: What is told leads to the store's state
    Then in any order of lists, watches and tellings the state is the store's as of its revision

  Scenario Outline: A peer holds an object that its source never saw
    Given a peer that lists a worker which its source missed
    When the worker goes and the source learns the rest by a <means>
    Then an update for the peer's revision takes the worker away

    Examples:
      | means |
      | list  |
      | watch |

  Scenario: A small zone has no readers
    Then up to 6 nodes of a zone all follow the store, and 2 of any more

  Scenario: A large deployment has two readers, whatever its zones
    Then in zones of any sizes 2 nodes follow the store, and it is two steps to all others

  Scenario: Most nodes call the store no more
    Given a zone of 9 nodes that follow a stand-in of the store
    When the operator writes configuration 3 and worker "i-1" comes
    Then all nodes route by configuration 3 and know worker "i-1"
    And only the 2 readers call the store

  Scenario: One reader is gone
    Given a zone of 9 nodes that follow a stand-in of the store
    When a reader is cut off from all nodes and configuration 4 is written
    Then all other nodes route by configuration 4
    And still only the readers call the store

  Scenario: Both readers are cut off from the store
    Given a zone of 9 nodes that follow a stand-in of the store
    When both readers lose the store and configuration 5 is written
    Then all other nodes route by configuration 5
    When both readers have the store again and configuration 6 is written
    Then all nodes route by configuration 6
    And only the 2 readers call the store

  Scenario: A node that missed what was told
    Given a zone of 9 nodes that follow a stand-in of the store
    When a node is cut off while worker "i-2" comes, and is back
    Then all nodes know worker "i-2"

  Scenario: Nodes that start learn from a seed what the store holds
    Given a zone of 9 nodes that start with seeds "node-3, node-5"
    Then all nodes route by configuration 2
    And none of the others has listed anything of the store

  Scenario: Seeds that are gone
    Given a zone of 9 nodes that start with seeds "gone-1, gone-2"
    Then all nodes route by configuration 2

  Scenario: A node that starts again is told at once
    Given a zone of 9 nodes that start with seeds "node-3, node-5"
    And all nodes are told by the readers
    When a told node starts again
    Then it routes by configuration 2 without a call of the store

  Scenario: A few nodes of a zone leave their addresses
    Then 2 nodes of each of 2 zones have a record, the next one after them when one is gone

  Scenario: All nodes of a zone are turned away while another zone is served
    Given zones of 9 and 8 nodes that follow a stand-in of the store
    When the store turns away all nodes of the first zone and configuration 5 is written
    Then all nodes route by configuration 5
    And all nodes are fresh, and those that are turned away hardly ask the store
    When the store serves all nodes again and configuration 6 is written
    Then all nodes route by configuration 6
    And only the 2 readers call the store

  Scenario: A node of small zones is turned away
    Given zones of 2 and 3 nodes that follow a stand-in of the store
    When the store turns away all nodes of the first zone and configuration 5 is written
    Then all nodes route by configuration 5
    And all nodes are fresh, and those that are turned away hardly ask the store
    When the store serves all nodes again and configuration 6 is written
    Then all nodes route by configuration 6

  Scenario: Who looks for a node that is served
    Given zones of 9 and 8 nodes of which all are turned away
    Then a node whose sources speak leaves the search to them, however old their news
    And a node whose sources are silent searches, two more with each renewal, four at a time
    And a reader of the deployment searches

  Scenario: Any nodes are turned away at any moment
    Given zones of 8 and 3 nodes that follow a stand-in of the store
    Then whoever the store turns away, views never go back, ages are true and all become fresh
