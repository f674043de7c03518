Feature: A planned stop uses the grace period, and no more than it
  SIGTERM is followed by SIGKILL after `gracePeriodS`. Requests in hand are served into its last
  sixth; the process is gone before its end, whatever hangs.

  # Guards against margins that take more than a sixth of a grace period.
  Scenario: The times of a stop
    Then for any grace period requests are served into its last sixth, and the process is gone before its end

  # Guards against streams that a gateway cuts long before its grace period is over.
  Scenario Outline: Streams in hand when a gateway is stopped
    Given hosted processes with a grace period of <grace> s
    When <streams> streams that end one after the other run at a gateway, and it gets <signals>
    Then no stream is cut before the last sixth of the grace period
    And the process is gone before the end of the grace period with exit code 0

    Examples:
      | grace | streams | signals                         |
      | 1     | 6       | SIGTERM                         |
      | 2.5   | 12      | SIGHUP, SIGTERM, SIGHUP         |
      | 5     | 24      | SIGTERM, SIGTERM                |

  # Guards against store machines that outlast their grace period.
  Scenario Outline: A store machine is stopped
    Given hosted processes with a grace period of <grace> s
    When the store machine that leads the batch jobs gets SIGTERM
    Then the process is gone before the end of the grace period with exit code 0

    Examples:
      | grace |
      | 1     |
      | 4     |

  # Guards against stops that end in SIGKILL since something in the process waits.
  Scenario Outline: A process in which something hangs
    Given a hosted process with a grace period of <grace> s whose service hangs in its <phase>
    When it gets SIGTERM
    Then the process is gone before the end of the grace period with exit code 0
    And its log says that the stop was cut short

    Examples:
      | grace | phase |
      | 1     | start |
      | 2     | drain |
      | 1.5   | stop  |

  # Guards against a signal that is noticed late, or not before the end of a start.
  Scenario Outline: A signal that another thread than the main one receives
    Given a hosted process with a grace period of 2 s whose service hangs in its <phase>
    When another thread of it receives SIGTERM
    Then the process is gone before the end of the grace period with exit code 0
    And its log says that the stop was cut short

    Examples:
      | phase |
      | start |
      | drain |

  # Guards against a stop that waits for somebody to read its last lines.
  Scenario: A process whose output nobody reads
    Given a hosted process with a grace period of 1 s, whose output is full
    When it gets SIGTERM
    Then the process is gone before the end of the grace period with exit code 0

  # Guards against requests that a stopping gateway takes and then cuts.
  Scenario: Requests that come late in a drain
    Given workers "a" and "b" behind a gateway
    And model workers behind the gateway
    And clients with open connections
    When the gateway drains for 4 s with a stream of 3 s in hand
    Then a request that may outlast the drain is refused at once, to be sent elsewhere
    And a request that can't outlast it is served
    And the stream in hand comes whole

  # Guards against requests that are passed on late since their bodies end late.
  Scenario Outline: A body that ends late in a drain
    Given workers "a" and "b" behind a gateway
    And model workers behind the gateway
    And a client that has sent half of a body of <bytes> bytes to <path>
    When the gateway drains for 4 s, and the other half is sent late
    Then it is refused to be sent elsewhere, and has not run

    Examples:
      | bytes  | path          |
      | 2000   | /idempotent/x |
      | 2000   | /stream/x     |
      | 400000 | /single/x     |

  # Guards against requests that end with their connection, with no answer.
  Scenario Outline: A request whose worker outlasts a drain
    Given workers "a" and "b" behind a gateway
    When the gateway drains for 1 s with <count> requests to <path> in hand that take 3 s, and stops
    Then each is answered: with 502 if it has run, with 503 if it has not

    Examples:
      | count | path          |
      | 1     | /single/x     |
      | 40    | /single/x     |
      | 40    | /idempotent/x |

  # Guards against look-ups that are cut as the gateway closes.
  Scenario: Look-ups at the directory of a gateway that stops
    Given workers "a" and "b" behind a gateway
    And a directory that takes 200 ms to answer
    When the gateway drains for 1 s while clients look up one after the other
    Then each look-up that was accepted is answered

  Scenario: A grace period that is too short to stop in
    Then settings with a grace period below 1 s are refused
