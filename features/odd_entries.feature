Feature: An odd entry of another writer ends no process and stops no follower
  Any writer to the hosting platform's store may write an entry that is nested very deeply, holds a
  number that is too large, or names an address that no socket call takes.

  # Guards against an entry that each node takes and relays, and that ends the connection of each peer.
  Scenario: A worker's entry that a peer cannot decode
    Then with any odd value in any place of one worker's entry, the others reach each peer

  Scenario: A worker's entry with up to half a million levels
    Then with any depth in any place of one worker's entry, the others reach each peer
