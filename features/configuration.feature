Feature: Configuration in force everywhere
  Nodes learn each revision from their zone's reader and from each other, and never go back.

  Scenario: Any mix of faults ends with the newest revision everywhere, and no node goes back
    Given configuration nodes in 3 zones of 2 regions over a faulty network and store
    Then no run of the configuration state machine breaks a promise

  Scenario: A table moves forwards only, whatever reaches it in whatever order
    Given a configuration table and any history of changes
    Then every mix of lists, watch changes and updates leaves it as the history was at its revision
    And the changes it passes on lead any earlier revision to its own

  Scenario: Readers that saw different machine lists never leave a peer with a wrong one
    Given any history of configuration machine lists and two readers of parts of it
    Then a configuration update between them is applied right or refused

  Scenario: A listener that subscribes during a change sees no older snapshot afterwards
    Given a configuration subscription that was given revision 5
    When the configuration subscription is given revisions 4, 5, 6 and 3
    Then the configuration listener saw revisions 5, 5, 6

  Scenario: A change reaches every node of a large zone by pushes alone
    Given a configuration zone of 43 nodes
    When the zone's reader reads a new revision and each pushed message arrives once
    Then the revision is in force on all of the zone's nodes
    And each configuration node sent at most its fan-out and one announcement

  Scenario: A node whose task waits for a silent peer still passes changes on
    Given a configuration zone of 43 nodes
    When the zone's reader reads a new revision while no configuration task runs
    Then the revision is in force on all of the zone's nodes

  Scenario: A change costs a node the same in a small cluster and in a large one
    Given configuration clusters of 32 and of 340 nodes in 8 zones of 3 regions
    When 5 changes of 600 bytes are spread in both configuration clusters
    Then no configuration node sends more than 9 messages for a change in either cluster
    And the mean configuration bytes for a change and node differ by less than a fifth
    And every node of both configuration clusters has the last change in force

  Scenario: A silent node in the push tree cuts nobody off
    Given a configuration zone of 43 nodes
    And a configuration node with children in the push tree is silent and suspected
    When the zone's reader reads a new revision and each pushed message arrives once
    Then the revision is in force on all of the zone's nodes

  Scenario: A node started while the store is down learns from a peer
    Given a configuration zone of 3 nodes with a revision in force
    And the configuration's store is down
    When a fresh configuration node joins the zone
    Then the fresh configuration node has that revision in force

  Scenario: A node with neither store nor peer has no configuration
    Given a configuration zone of 1 nodes
    And the configuration's store is down
    When the configuration node reads and steps
    Then the configuration node says that it has no configuration

  Scenario: A large configuration reaches a fresh node in chunks
    Given a configuration zone of 3 nodes with 3000 policies in force
    When a fresh configuration node joins the zone
    Then the fresh configuration node has that revision in force
    And no configuration message was longer than 200000 bytes

  Scenario: A store that is slow to open watches is watched for longer each time
    Given a configuration reader before a store that takes 1.5 seconds to open a watch
    When the configuration reader watches the quiet store 2 times
    Then the configuration reader's watches were meant to last 1.0 and 4.5 seconds
    When the configuration's store is fast again and the reader watches it 2 times
    Then the configuration reader's watches were meant to last 4.5 and 1.0 seconds

  Scenario: A new reader soon knows how far its zone has come
    Given a configuration zone of 5 nodes with a revision in force
    Then the configuration's reporter counts 5 of 5 nodes at revision 1
    When the configuration zone's reader goes and each node steps for half a second
    Then the configuration's reporter counts 4 of 4 nodes at revision 1

  Scenario: A change of the machine list waits for no other zone's reader
    Given configuration readers of the machine list in 8 zones with a period of 1 second
    When 7 of the machine list's readers are lost and the list shows a leaving machine
    Then the last configuration reader notes the leaving machine within 1.5 periods
