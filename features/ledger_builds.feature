Feature: Commands that one of two builds does not know
  While machines are replaced, replicas of two builds hold a shard. A command that the older one does
  not know enters the log only once every replica can apply it. A replica that goes back after that
  must not pass over it: its state would be another one.

  Scenario: A new command waits for the last replica of an older build
    Given a ledger of replicas a, b and c of which c is of an older build
    When a command of the later build is submitted
    Then it is refused as surely not appended, and an older command is applied by all
    When c goes on with the later build
    Then a command of the later build is applied by all

  Scenario: A replica that goes back after a new command
    Given a ledger of replicas a, b and c of the later build
    And a command of the later build is applied by all
    When c goes back to the older build
    Then an older command is applied by a and b, and c holds what was before the later one
    And c never leads, also when only c and one other are there
    When c goes on with the later build
    Then all three hold the same

  Scenario: A leader of an older build is not handed a new command
    Given a ledger of replicas a, b and c of the older build, and a node z of the later one
    When z submits a command of the later build
    Then it is refused as surely not appended, and an older command of z is applied by all
