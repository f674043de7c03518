Feature: Membership converges under any faults
  No live member stays dead and no dead one stays live, whatever happened before.

  Scenario: Crashes, restarts, pauses, splits and loss in any order
    Then the membership state machine always heals to exactly the live members

  Scenario: Two halves that were parted for an hour merge
    Given a simulated membership of 12 nodes that have no seeds left
    When the simulated membership is parted into halves for 3600 seconds
    Then after healing the simulated membership is whole within 60 seconds
    And no simulated member was declared dead while it healed

  Scenario: Loss of one in a hundred datagrams makes nobody dead
    Given a simulated membership of 12 nodes
    When the simulated membership loses 0.01 of its datagrams for 600 seconds
    Then no simulated member was declared dead

  Scenario: A short pause makes nobody dead, and the paused member blames nobody
    Given a simulated membership of 12 nodes
    When a simulated member pauses for 2.5 seconds
    Then no simulated member but the paused one was suspected

  Scenario: A dead member is declared so by all, and its address may get another name
    Given a simulated membership of 12 nodes
    When a simulated member's process is replaced by one of another name at its address
    Then after healing the simulated membership is whole within 30 seconds
