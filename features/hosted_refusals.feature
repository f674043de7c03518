Feature: A refusal that is final rests on a configuration that is current
  404 and 401 are not tried again. A gateway whose configuration may be older than the operator allows
  asks the store before it says so; where the store does not answer, the client comes back later.

  Background:
    Given a gateway whose configuration may be 30 s old

  # Guards against 404 for a route that was added while the gateway's watch was cut.
  Scenario: A route that the gateway does not know yet
    When the store has a configuration with the route "/added/"
    Then a request to "/added/x" gets 200 at its first try

  Scenario: A route that is nowhere
    When the store has the gateway's configuration
    Then a request to "/nowhere/x" gets 404 at its first try
    And 12 requests at once to "/nowhere/x" get 404, for one call to the store

  Scenario: A store that does not answer
    When the store does not answer for 2 s
    Then a request to "/nowhere/x" gets 503 with Retry-After within 1 s
    And the next 3 requests to "/nowhere/x" get 503 within 0.2 s
    And a request to "/idempotent/x" gets 200 at its first try

  # Guards against 401 for a key that was added while the gateway's watch was cut.
  Scenario: A key that the gateway does not know yet
    Given the gateway's configuration has tenants without keys
    When the store has a configuration in which "dealers" have their keys
    Then a request with a key of "dealers" to "/idempotent/x" gets 200 at its first try

  # Guards against 401 for a route that was made public while the gateway's watch was cut.
  Scenario: A route that was made public
    Given the gateway's configuration has tenants without keys
    When the store has a configuration in which "/single/" is public
    Then a request without a key to "/single/x" gets 200 at its first try

  # Guards against 404 by the former configuration for a route of one that can't be decoded.
  Scenario: A newest configuration that can't be decoded
    When the store has a configuration that can't be decoded
    Then a request to "/nowhere/x" gets 503 with Retry-After within 1 s

  Scenario: A newest configuration of which a route without a name can't be decoded
    When the store has a configuration with a route that has no name
    Then a request to "/nowhere/x" gets 503 with Retry-After within 1 s
