Feature: One holder of a lease acts at a time
  The lease is an object of the store, replaced by compare-and-set. Whatever answers are lost,
  whichever node is paused or killed and however their clocks are offset, operations of two
  holders are separated by a minimum time, and a later holder's fencing token is higher.

  Scenario: Nodes compete under lost answers, outages, pauses and restarts
    Then operations of two holders are separated and fencing tokens only increase

  Scenario: A holder that is killed is followed by its own machine at once
    Then a restarted holder acquires its lease again at once, with a higher fencing token

  Scenario: A holder that is gone is followed soon after its lease has run out
    Then another node acquires the lease of a lost holder within a second of its expiry

  Scenario: A holder is gone while the store is away
    Then another node may operate within a second of the store's recovery

  Scenario: A holder that is to be taken away
    Then a holder that steps aside is succeeded at once if it has not operated recently

  # Guards against a lease without a holder while no machine that is asked to go can go.
  Scenario: Machines that are all to be taken away, and stay
    Then machines are asked to step aside only while one that is to stay can hold the lease
    And a node holds the lease within 4 s after removals are given up

  Scenario: A lease given back is taken without waiting for its end
    Then the successor of a holder that releases the lease operates only after the separation time

  Scenario: A holder that the store turns away while it serves others
    Then another node operates within 2 s of a hand-over, 2 s sooner than without one
    And a renewal that is answered after the hand-over does not restore the lease
    And a hand-over message that arrives after the lease was acquired again has no effect

  # Guards against 5 s without a holder, for one message that is lost.
  Scenario: A hand-over whose first messages are lost
    Then another node acquires the lease within 1.5 s of a hand-over whose first 2 messages are lost
    And nodes that hear a hand-over again and again read the object few times more

  Scenario: A holder whose renewal is done late hands the lease over
    Then another node acquires the lease within 1 s of a hand-over, whenever the late renewal is executed
    And it operates after the separation time from the former holder's last operation

  Scenario: A renewal whose answer is missing
    Then a holder whose renewal was executed but answered too late stops operating in time
    And a holder whose first renewal was never executed stops operating in time

  Scenario: A renewal that is done after it was read back
    Then a holder whose renewal was executed late keeps its lease

  Scenario: A lease is taken and the answer is missing
    Then the node holds the lease within 1 s, whether its write was executed at once, late or never

  Scenario: Writes of a lease without an answer can be told from the log
    Then a creation, a renewal and an acquisition without an answer each leave a line

  Scenario: A holder that still waits gives the lease up
    Then its successor waits only for the rest of the separation time
