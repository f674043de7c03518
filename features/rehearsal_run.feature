Feature: A rehearsal of real processes gives verdicts that can be relied on
  The demonstration's plan runs nodes and stand-ins as processes of their own.

  Scenario: The demonstration holds every promise, and its evidence broken in any way does not
    Given the rehearsal demonstration has run in a folder
    Then every promise of the rehearsal was checked and held
    And every rehearsal mutation of its evidence breaks the promise that it names
    And the rehearsal trainer that ran alone beside it has all samples of its step
    And no process that the rehearsal started is left
