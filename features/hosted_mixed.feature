Feature: Two builds of the hosted roles side by side
  Machines are replaced one after the other, so an older build and this one serve one deployment for
  a while, and a machine may go back. The older one comes from the repository's own history; a clone
  that lacks it says so, and reads what that build has left.

  Scenario: An older build is replaced machine by machine
    Given the build that was in service before
    When the day is played on which this build takes its place
    Then on that day everything that must hold has held

  Scenario: A soak in which machines change their builds
    Given the build that was in service before
    When a soak of 12 seconds is played with seed 6 in which machines change between the builds
    Then faults have struck and everything that must hold of the soak has held
    And machines have changed their builds

  Scenario: What an older build has written is read
    Given what the older build has left, as it was recorded
    Then its frames and handshakes are read, and its nodes read those of this build
    And what it does not know is of a later level
    And its log entries, its journal file and its snapshot give the state that it had
