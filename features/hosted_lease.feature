Feature: One holder of a lease acts at a time
  The lease is an object of the store, replaced by compare-and-set. Whatever answers are lost,
  whichever node is paused or killed and however their clocks are offset, the acts of two holders
  are apart by the agreed time, and a later holder's fence is higher.

  Scenario: Nodes compete under lost answers, outages, pauses and restarts
    Then no two holders act within the agreed time and fences only rise

  Scenario: A holder that is killed is followed by its own machine at once
    Then a restarted holder takes its lease again without a wait, with a higher fence

  Scenario: A holder that is gone is followed soon after its lease has run out
    Then another node holds the lease of a lost machine within a second of its end

  Scenario: A holder is gone while the store is away
    Then another node acts within a second of the store's return

  Scenario: A holder that is to be taken away
    Then a holder that is asked aside is followed at once if it has not acted lately

  Scenario: A lease given back is taken without waiting for its end
    Then a successor of a planned stop acts after the agreed time only

  Scenario: A holder that the store turns away while it serves others
    Then another node acts within 2 s of a hand-over, 2 s sooner than without
    And a renewal whose answer comes after the hand-over does not bring the lease back
    And a hand-over that arrives after the lease was taken again changes nothing

  Scenario: A holder whose renewal is done late hands the lease over
    Then another node has the lease within 1 s of a hand-over, whenever the late renewal is done
    And it acts the agreed time after the last act of the one that handed over

  Scenario: A renewal whose answer is missing
    Then a holder whose renewal was done, but answered too late, acts no longer than it may
    And a holder whose first renewal was never done acts no longer than it may

  Scenario: A renewal that is done after it was read back
    Then a holder whose renewal was done late keeps its lease

  Scenario: A lease is taken and the answer is missing
    Then the one that took it knows so within 1 s, whether it was done at once, late or never

  Scenario: A holder that still waits gives the lease up
    Then its successor waits for the rest of the agreed time only
