Feature: A request with a long body reaches a worker whole, or not at all
  Bodies over 256 KB are passed on as they come and can be read once. Workers refuse, cut or ignore
  requests before, in and behind their bodies.

  Background:
    Given workers "a" and "b" behind a gateway

  # Guards against a request that a worker refused and another one runs without its body.
  Scenario Outline: A long body that a worker refuses
    Given <workers> behind the gateway
    And worker "a" is tried first and <ends it> after <read> bytes
    When a client sends <size> bytes <framed> to the <route> route
    Then it gets <status>, and <reached> workers received it
    And each worker received only the bodies that clients sent

    Examples:
      | workers       | ends it            | read   | size    | framed        | route      | status | reached |
      | model workers | refuses            | 0      | 262145  | in chunks     | stream     | 503    | 1       |
      | model workers | refuses            | 300000 | 700001  | with a length | stream     | 503    | 1       |
      | model workers | refuses            | 999000 | 999000  | in chunks     | resumable  | 503    | 1       |
      | model workers | refuses and closes | 100000 | 5000000 | in chunks     | resumable  | 503    | 1       |
      | model workers | resets             | 270000 | 5000000 | in chunks     | resumable  | 502    | 1       |
      | model workers | refuses            | 0      | 5000000 | with a length | resumable  | 503    | 1       |
      | model workers | refuses            | 0      | 262144  | in chunks     | stream     | 200    | 2       |
      | model workers | refuses            | 90000  | 200000  | with a length | resumable  | 200    | 2       |
      | workers       | refuses            | 0      | 262145  | with a length | idempotent | 503    | 1       |
      | workers       | refuses            | 262145 | 5000000 | in chunks     | single     | 503    | 1       |
      | workers       | refuses and closes | 0      | 5000000 | with a length | single     | 503    | 1       |
      | workers       | resets             | 1      | 400000  | in chunks     | idempotent | 502    | 1       |
      | workers       | refuses            | 0      | 100000  | in chunks     | idempotent | 200    | 2       |

  # Guards against bytes of one request where the rest of another one's body is due.
  Scenario Outline: Whatever workers do amid bodies of any length
    Given <workers> behind the gateway
    Then whatever they do to requests, each worker received only the bodies that clients sent

    Examples:
      | workers       |
      | workers       |
      | model workers |

  # Guards against a long body that is refused although no worker has been reached.
  Scenario Outline: A worker that can't be reached
    Given <workers> behind the gateway
    And worker "a" is tried first and has ended
    When a client sends 700000 bytes in chunks to the <route> route
    Then it gets 200, and 1 workers received it
    And each worker received only the bodies that clients sent

    Examples:
      | workers       | route  |
      | workers       | single |
      | model workers | stream |

  # Guards against a connection that is used again although a body on it ended early.
  Scenario Outline: A body that does not have the declared length
    When a body of <size> bytes is sent to a worker with a declared length of 400000
    Then the call fails, and the next one is answered

    Examples:
      | size   |
      | 0      |
      | 399999 |
      | 400001 |

  # Guards against a place at a worker that stays taken once a client has left amid its body.
  Scenario Outline: A client that leaves in the middle of a long body
    Given <workers> behind the gateway
    When a client sends <sent> of 900000 bytes <framed> to the <route> route and leaves
    Then no request is in flight at a worker, and no client is watched
    And no worker ran it

    Examples:
      | workers       | sent   | framed        | route      |
      | model workers | 300000 | in chunks     | stream     |
      | model workers | 800000 | with a length | resumable  |
      | workers       | 300000 | in chunks     | idempotent |
      | workers       | 800000 | with a length | single     |
