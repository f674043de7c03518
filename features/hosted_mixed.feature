Feature: Two builds of the hosted roles side by side
  In a rolling upgrade an older build and this one serve one deployment, and a machine may be rolled
  back. The older build comes from the repository's history; a clone without it skips these scenarios
  and only reads the recorded data of that build.

  Scenario: An older build is replaced machine by machine
    Given the previous build
    When the day is played on which this build replaces it
    Then on that day everything that must hold has held

  Scenario: A soak in which machines change their builds
    Given the previous build
    When a soak of 12 seconds is played with seed 6 in which machines change between the builds
    Then faults have struck and everything that must hold of the soak has held
    And machines have changed their builds

  Scenario: What an older build has written is read
    Given the recorded data of the older build
    Then its frames and handshakes are read, and its nodes read those of this build
    And message and command types unknown to it have a later level
    And its log entries, journal file and snapshot restore its state
