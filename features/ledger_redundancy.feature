Feature: The ledger bears the loss that it must bear, at any moment at which it is owed
  One of three machines may lose its disk once the last one that was lost is whole again, and all
  others may lose power with it. So a live replica must never make way while a dead one stays.

  Scenario: A machine is to be emptied while another one is gone for good
    Then no machine is given up before three others are alive and hold the ledger
    And after the loss of any one disk and of all power everything is read

  Scenario: A fourth voter that is dead is taken out before anything else
    Then of four voters one that is silent goes first, whoever is to be emptied

  Scenario: What must be sure before a machine is emptied
    Then a voter to be emptied goes only when three others hold the log, answer, stay and are no newcomers
    And a voter that stops as planned has a successor brought in before it is gone

  Scenario: Machines come and go, and the last disk is lost as soon as it may be
    Then through 40 days of changes every loss that is owed is borne

  Scenario: A voter that was taken for gone and answers again
    Then no replica comes in a second time beside itself
    And a set that names a replica twice is refused

  Scenario: A machine that the operator is told may go
    Then it is never brought in again, whatever is lost meanwhile

  Scenario: A machine that the operator is told may go, and the leader is lost that said so
    Then the next leader brings it in no more, either

  Scenario: A first start during which one machine hears none of the others
    Then nothing is acknowledged by fewer voters than must outlast the loss of a disk
    And a hosted ledger is begun by one replica more than the losses that it is to bear

  Scenario: A state whose last part was answered late
    Then a replica that has installed it asks for no part of it again

  Scenario: A state whose last part came and that the disk has not taken
    Then a replica says that it holds the state only once its disk does

  Scenario: A day that is simulated again
    Then its trace is the same in processes with 5 hash seeds and whatever other threads draw
