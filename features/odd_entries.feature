Feature: An odd entry of another writer ends no process and stops no follower
  Any writer to the hosting platform's store may write an entry that is nested very deeply, holds a
  number that is too large, or names an address that no socket call takes.

  # Guards against an entry that each node takes and relays, and that ends the connection of each peer.
  Scenario: A worker's entry that a peer cannot decode
    Then with any odd value in any place of one worker's entry, the others reach each peer

  Scenario: A worker's entry with up to half a million levels
    Then with any depth in any place of one worker's entry, the others reach each peer

  # Guards against a call that raises past the handlers of its connection, or reaches another port.
  Scenario: An address that no socket call takes
    Then each odd address is rejected, and a call or probe of it fails like one that reaches nobody

  Scenario: A gateway with odd entries among those of its workers
    Given a gateway whose store lists odd entries beside a sound worker
    Then each request is served by the sound worker

  # Guards against a retirement that is never done, as its status can't be relayed.
  Scenario: An entry whose status no peer can decode
    Then an odd status takes away nothing but itself

  # Guards against a watch that each check of its connection ends.
  Scenario: An entry with a revision beyond the store's
    Then a listed revision beyond that of the list interrupts no watch
