Feature: Gateway
  A node serves callers, trainers and operators over HTTP, tells the truth about what has run,
  and holds nothing for callers that misbehave or leave.

  Scenario: OpenAI's client gets whole answers that name their weight versions
    Given a gateway on fake services
    When the gateway is asked for a completion with OpenAI's client
    Then the gateway's answer is "one two three" from weight versions 3 and 4 in body and header
    And the gateway's streamed answer is the same, with usage at its end
    And the gateway's chat answers are the same, whole and streamed
    And the gateway lists the policy "policy-1" as a model

  Scenario: Options of a completion reach the dispatcher
    Given a gateway on fake services
    When the gateway is asked for two choices with class, deadline, unit, stop and seed
    Then the gateway's dispatcher is asked for two generations with these options

  Scenario Outline: A refusal has OpenAI's shape, its status and the run state
    Given a gateway on fake services
    And the gateway's dispatcher refuses with "<reason>" and run state "<run_state>"
    When the gateway is asked for a completion with OpenAI's client
    Then OpenAI's client raises status <status> with run state "<run_state>"
    And an application request is refused by a problem document with status <status>

    Examples:
      | reason             | run_state | status |
      | overloaded         | not_run   | 429    |
      | no_backend         | not_run   | 503    |
      | deadline           | unknown   | 504    |
      | no_such_policy     | not_run   | 404    |
      | key_in_progress    | unknown   | 409    |
      | backend_failed     | ran       | 502    |

  Scenario: A generation that breaks off is never passed as whole
    Given a gateway on fake services
    Then a gateway generation that is refused or ends without end marker at any chunk gives an error

  Scenario: A caller that leaves cancels its generation
    Given a gateway on fake services
    When gateway callers leave in the middle of a stream and of a whole answer
    Then the gateway's generations are cancelled and its threads are free

  Scenario: Application requests pass unchanged but for hop-by-hop headers
    Given a gateway on fake services
    Then gateway application requests of any method, path, query, headers and body pass unchanged

  Scenario: A long application body passes in both directions
    Given a gateway on fake services
    When a gateway application request with a body of 8 MiB is sent in chunks
    Then the gateway returns the same 8 MiB

  Scenario: A long body reaches the application while it is being sent, and no faster than it is read
    Given a gateway on fake services
    When a gateway caller sends a long body to an application that reads nothing yet
    Then the gateway takes in a bounded part of the body
    When the gateway's application reads the body
    Then it gets the whole body, and the gateway's connection serves the next request

  Scenario: A long body that breaks off, is too slow or too long ends its attempt
    Given a gateway with short time limits and a longest body of 400000 bytes
    Then cut, slow and too long bodies at the gateway get 400, 408 and 413 and are read as cut
    And the gateway has no busy connection and answers the next request

  Scenario: A node without configuration refuses work for the moment
    Given a gateway on fake services
    When the gateway's node has no configuration yet
    Then gateway requests for work are refused with 503, not_run and when to come back

  Scenario: An application answer that breaks off is not passed as whole
    Given a gateway on fake services
    Then a cut application answer is cut for gateway callers of HTTP/1.0 and HTTP/1.1

  Scenario: A trainer declares, pulls and acknowledges a step
    Given a gateway on fake services
    When a trainer declares a step at the gateway and a sample is filled while it waits
    Then the gateway hands over the sample, and again for the same cursor
    And the gateway acknowledges it, and refuses a changed declaration and an unknown step

  Scenario: Resources are written, listed, watched and deleted
    Given a gateway on fake services
    When a gateway watch is open while a pool is created from YAML, patched and deleted
    Then the gateway watch shows ADDED, MODIFIED and DELETED in order
    And a gateway dry run and a write of an old version change nothing
    And the gateway refuses YAML with aliases, deep nesting and a wrong kind

  Scenario: Malformed requests are refused and hold nothing
    Given a gateway on fake services
    Then malformed, truncated and random bytes at the gateway get a 4xx or 5xx or a closed connection
    And the gateway has no busy connection and answers the next request

  Scenario: Requests that arrive too slowly are refused
    Given a gateway with short time limits and a longest body of 4096 bytes
    Then slow headers and a slow body get 408 from the gateway

  Scenario: Requests that are too long are refused
    Given a gateway with a longest body of 4096 bytes
    Then a gateway body that is too long gets 413, however it is framed

  Scenario: A caller that takes no output is disconnected
    Given a gateway with short time limits and a longest body of 4096 bytes
    When a gateway caller asks for an endless answer and reads none of it
    Then the gateway closes that answer and its threads are free

  Scenario: Connections that do nothing give way to others
    Given a gateway that may hold 8 connections
    When 20 idle connections are opened at the gateway
    Then the gateway closes idle ones and answers the next request

  Scenario: No connection waits for the loop's look at all of them
    Given a gateway whose loop looks at a connection only after an event of its own
    Then 16 gateway connections that send, pipeline and read slowly get all of their answers

  Scenario: Streams and drafts leave threads for interactive requests
    Given a gateway on fake services
    When streams and drafts are asked for until the gateway refuses them
    Then gateway refusals are immediate, say not_run and when to come back
    And an interactive request at the gateway is still served

  Scenario: Thread shares keep their bounds under any sequence of requests
    Then gateway thread shares hold their bounds and are empty at the end, for any sequence

  Scenario: A refusal for want of a thread says when one may be free
    Given gateway thread shares whose drafts held their places for 40 s and lookups for 0.1 s
    Then refused gateway drafts are told to come back in 20 s, and lookups in 1 s
    And refused gateway streams are told to come back after half the age of those that run

  Scenario: A planned stop cuts no request
    Given a gateway on fake services
    When 8 gateway streams and an application request are running and the gateway drains
    Then the gateway is not ready at once, refuses new work as not run, and ends every answer whole
    And the gateway's listener closes only after that, and no thread is left

  Scenario: Bearer tokens give roles and are replaced without a stop
    Given a gateway with a file of tokens
    Then gateway tokens open just the interfaces of their roles
    When the gateway's file of tokens is replaced by another
    Then the gateway accepts the new token and refuses the old one
    When the gateway's file of tokens is damaged
    Then the gateway accepts the new token still

  Scenario: Status and metrics tell what the node does
    Given a gateway on fake services
    When the gateway is asked for a completion with OpenAI's client
    Then the gateway's status names the node, the revision in force and the dispatch counters
    And the gateway's metrics count the request and are in the Prometheus format
