Feature: The ledger loses, doubles and reorders nothing, whatever fails
  Messages are dropped, delayed, reordered and doubled; nodes are cut off, paused, killed; disks
  are lost or damaged. Acknowledged commands stay, in one order; a refused command never appears;
  nobody reads an older state than one already shown.

  Scenario: The ledger against a plain list
    Then a ledger of 4 simulated replicas agrees with a plain list over 20 runs

  Scenario: Many faults close together
    Then a ledger of 4 simulated replicas survives 24 long storms

  Scenario: A ledger replica votes once in a term
    Given a simulated ledger replica that voted in a term
    Then it refuses another candidate of that term, also after it was killed and started

  Scenario: A ledger leader changes its replicas one at a time
    Given a simulated ledger whose leader began a change of its replicas
    Then it begins no second change before the first is committed
    And it refuses to change two voters at once

  Scenario: Entries of an older term are not committed by counting copies
    Given a simulated ledger leader with an entry of an older term on a majority
    Then that entry is committed only along with one of the leader's own term

  Scenario: A replica that was made before it knew the placement can lead
    Given a simulated ledger of which one replica was made by its leader's first append
    Then that replica leads when the leader hands over to it
