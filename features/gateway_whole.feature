Feature: Gateway on a whole node
  The HTTP port of a node with all its services, in front of the stand-ins of engines and
  applications.

  Background:
    Given a whole gateway node with 2 engines and an application

  Scenario: OpenAI's client is served by engines
    When OpenAI's client asks the whole gateway node for answers, whole and streamed, and for chat
    Then the whole gateway node's answers have all tokens, their weight version and usage
    And an unknown policy, a bad parameter and a passed deadline raise OpenAI's errors

  Scenario: A caller that vanishes ends its generation on the engine
    When callers of the whole gateway node vanish in mid-stream and before a whole answer
    Then the engines cancel these generations, and the whole gateway node holds nothing for them

  Scenario: Bodies of any size pass to and from the application
    Then the whole gateway node echoes bodies around each of its buffers, declared and chunked
    And a caller of the whole gateway node that breaks off its upload harms nobody else

  Scenario: A drain of the node cuts no stream and no request
    When the whole gateway node drains while 20 streams and slow requests run
    Then every stream and request of the whole gateway node ends whole
