Feature: The ledger's files are whole, or known not to be
  What was acknowledged is found again after a kill at any moment. Damage is never dropped in
  silence: the replica gets a new identity, keeps what is proved whole, and rejoins as a learner.

  Scenario: A kill in the middle of a write
    Then a ledger journal killed at any byte of a write gives what it had acknowledged

  Scenario: Damage anywhere
    Then a ledger journal damaged at any byte is whole or has a new identity

  Scenario: A loss of power that tears what was not synced
    Then a ledger journal whose unsynced marks are lost or torn keeps its identity and its entries

  Scenario: A write that fails
    Given a ledger journal whose disk is full
    Then it acknowledges nothing any more

  Scenario: Bulk data after a kill in the middle of a write, and damage
    Then ledger segments cut at any byte keep all whole blobs and give no other ones

  # Guards against bulk data that is acknowledged although no sync has covered it.
  Scenario: Segments whose sync fails
    Then a segment whose sync failed is not held, and is written again when it is put again
    And others that waited for the same sync are not acknowledged either
    And a next segment file that can't be opened leaves all other files alone

  Scenario: A node that stops while its journal is read
    Then a ledger journal closed in the middle of its reading gives everything first, and keeps it
