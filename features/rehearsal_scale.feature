Feature: Scale run
  Hollow nodes run the real membership, configuration and ownership code on real sockets.

  Scenario: A small scale run comes to its end with plausible figures
    When a scale run of 8 hollow nodes and 40 workers is made
    Then every step of the scale run succeeded
    And the scale run's steady window had no false alarm
    And the scale run saw every death, leave and change on every other node

  Scenario: The bytes counted for a handshake are those of a handshake
    Then the scale run's handshake figure is within a tenth of a real handshake
