Feature: Open connections that go silent for good, while new ones work

  # Guards against calls that are lost one after the other to the idle connections of one pool.
  Scenario: A silent connection is the last of its pool that takes a call
    Given a server behind a relay, with 4 idle connections to it
    When the open connections of the relay go silent
    And a call that must not be repeated is made with a time-out of 1 s
    Then that call's outcome is "unknown" and the server has not read it
    And the next call is answered

  Scenario: Calls made while another waits on a silent connection take a new one
    Given a server behind a relay, with 4 idle connections to it
    When the open connections of the relay go silent
    And a call waits on one of them until the idle ones are closed
    Then the next call is answered before that one has ended

  # Guards against a repeatable call whose whole time is spent on a silent connection.
  Scenario: A repeatable call on a silent connection is answered within its time
    Given a server behind a relay, with 4 idle connections to it
    When the open connections of the relay go silent
    Then a repeatable call with a time-out of 1.5 s is answered

  Scenario: A server that takes its time is not silent
    Given a server behind a relay, with 4 idle connections to it
    When the server takes 0.8 s for a call
    Then that call is answered over a connection of before
    And the other idle connections are kept

  # Guards against calls that are lost one by one to each worker's idle connections.
  Scenario: Silent connections to several workers make those to all others doubtful
    Given 5 workers behind relays, with an idle connection to each
    When all open connections of the relays go silent
    And calls to 3 of the workers have ended
    Then no idle connection to any worker is left
    And a connection that is used after that is kept

  Scenario: A single silent worker says nothing about the others
    Given 5 workers behind relays, with an idle connection to each
    When the open connections of 2 relays go silent
    And calls to 2 of the workers have ended
    Then the idle connections to the other 3 workers are kept

  # Guards against a view that stays stale because its watch waits on a silent connection.
  Scenario: A watch at the store whose connection went silent is replaced with the next call there
    Given a process that follows the store through a relay and reads another kind there each second
    When the relay's connections go silent and the operator writes another configuration
    Then the process routes by it within 2 s

  Scenario: A call at the store replaces no watch unless its connection is silent
    Given a process that follows the store through a relay and reads another kind there each second
    When the store is read 20 times
    Then its watch is still the one of before

  # Guards against a stream that spends the time of its caller on a silent connection.
  Scenario: A stream that may be resumed is opened elsewhere when its connection is silent
    Given a gateway and two model workers behind relays, with idle connections to both
    When the open connections to one worker go silent
    Then each of 4 resumable streams with 2 s left is answered whole

  # Guards against an item that waits seconds for its first event on a silent connection.
  Scenario: An item is given back soon when the connection of its generation is silent
    Given a gateway and two model workers behind relays, with idle connections to both
    When the open connections to one worker go silent
    Then the generation of an item at that worker ends within 1.5 s, to be tried again
