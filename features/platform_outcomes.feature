Feature: Calls to outside systems tell truthfully whether they may have run

  Scenario: A platform call that finds nobody listening has not run
    Given a platform server that has stopped listening
    When a platform request is sent once to that server
    Then the platform outcome is "not_run"

  Scenario Outline: A platform request that was lost is typed by what is proved
    Given a platform server that closes its connections <point>
    When a platform request is sent once to that server
    Then the platform outcome is "<outcome>"
    And the platform server has read <requests> requests

    Examples:
      | point                  | outcome | requests |
      | after half the request | unknown | 0        |
      | after the request      | unknown | 1        |
      | within the headers     | unknown | 1        |
      | before the body        | unknown | 1        |
      | within the body        | unknown | 1        |
      | before the end marker  | unknown | 1        |
      | nowhere                | success | 1        |

  Scenario: A kept-alive platform connection that closes after a write proves nothing
    Given a platform server that answers 1 call and then closes after the request
    When two platform requests are sent over one connection
    Then the platform outcome is "unknown"
    And the platform server has read 2 requests

  Scenario: A kept-alive platform connection that was closed while idle is not used again
    Given a platform server that answers 1 call and then closes before reading
    When two platform requests are sent, the second once the connection is closed
    Then the platform outcome is "success"
    And the platform server has read 2 requests

  Scenario: No platform outcome claims more than the server's own count proves
    Then over losses at any point, by any way of closing, platform outcomes agree with the server

  Scenario: An answer that trickles does not outlive the platform call's deadline
    Given a platform server that trickles its answer for ever
    When a platform request is sent once to that server with a deadline of 0.5 seconds
    Then the platform outcome is "unknown"

  Scenario: A platform body without length or end marker is not taken as whole
    Given a platform server whose answer ends with the connection alone
    When a platform request is sent once to that server
    Then the platform outcome is "unknown"

  Scenario Outline: A platform refusal proves something only in the agreed form
    Given a platform server that answers status <status> with body <body>
    When a platform request is sent as a write
    Then the platform outcome is "<outcome>"

    Examples:
      | status | body                                     | outcome    |
      | 503    | {"error": "overloaded", "detail": "x"}   | overloaded |
      | 503    | {"error": "leaving", "detail": "x"}      | leaving    |
      | 409    | {"error": "conflict", "detail": "x"}     | conflict   |
      | 409    | {"error": "fenced", "detail": "x"}       | fenced     |
      | 410    | {"error": "compacted", "detail": "x"}    | compacted  |
      | 503    | busy                                     | unknown    |
      | 502    | <html>                                   | unknown    |
      | 500    | {"error": "no such kind", "detail": "x"} | unknown    |
      | 200    | {"half":                                 | unknown    |

  Scenario: Whatever an outside system answers, a platform client returns a typed outcome
    Then over any bytes, any JSON and any depth of nesting each platform client returns a result

  Scenario: Closing an ended platform answer late does not cut the connection's next call
    Given a platform server that answers 2 calls and then closes nowhere
    When a platform answer is dropped after its connection has gone to another call
    Then the other platform call gets its whole answer

  Scenario: Closing the platform clients wakes a call that waits for its answer
    Given a platform server that trickles its answer for ever
    When the platform clients are closed while a call waits
    Then the platform outcome is "unknown"

  Scenario: Closed platform clients send nothing more
    Given a platform server that answers 1 call and then closes nowhere
    When a platform request is sent after the clients were closed
    Then the platform outcome is "not_run"
    And the platform server has read 0 requests
