Feature: A run of the tests tells what went wrong in it

  Scenario: The test process crashes
    Then a test process that crashes tells where its threads were
