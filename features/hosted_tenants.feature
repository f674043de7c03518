Feature: A request is served for the tenant whose key it carries
  If the configuration has tenants, each request needs one of their keys unless its route is public.
  Keys are not forwarded; workers get the tenant's name in a header.

  Background:
    Given a gateway whose configuration has tenants "dealers" and "services"

  Scenario Outline: Which requests are run, and for whom
    When a client sends a request <what>
    Then it gets <status>, and the request ran for <tenant>

    Examples:
      | what                                       | status | tenant       |
      | with a key of "dealers"                    | 200    | "dealers"    |
      | with another key of "dealers"              | 200    | "dealers"    |
      | with a key of "services"                   | 200    | "services"   |
      | without a key                              | 401    | nobody       |
      | with an unknown key                        | 401    | nobody       |
      | with a key of another scheme               | 401    | nobody       |
      | of "services" with a tenant header         | 200    | "services"   |
      | to a public route without a key            | 200    | no tenant    |
      | to a public route with a tenant header     | 200    | no tenant    |
      | to a public route with a key               | 200    | "dealers"    |

  Scenario: A configuration without tenants leaves clients' own headers alone
    Given a configuration without tenants is in force
    When a client sends a request with a key of "dealers"
    Then it gets 200, and its worker saw what the client sent

  Scenario: Keys that are taken away and keys that are added
    When a configuration removes the first key of "dealers"
    Then a request with it gets 401, and one with the other key 200
    When a configuration gives "dealers" a new key
    Then a request with the new key gets 200

  Scenario: A gateway whose configuration may be old
    Given the gateway's configuration may be 30 s old
    Then a request with a known key is served, with an unknown one or without a key it gets 503
    And once the configuration is proven, an unknown key and none get 401

  Scenario: Keys that are to be revoked strictly
    Then a known key is accepted up to the maximum age of the configuration, and undecided after it

  Scenario: Configurations in any order
    Then keys are checked against the newest configuration received, in whatever order they arrive

  Scenario: A key never leaves the gateway
    When clients send requests with keys, known and unknown, that succeed and fail
    Then no log line, metric, response or worker contains a key

  Scenario: An error of the platform's store
    Then its error detail contains nothing of the store's response

  Scenario: A batch job belongs to its tenant
    Given a ledger with a job of "dealers"
    Then "dealers" can read the job and its items
    And for "services" the job does not exist, before and after a snapshot
    And "services" can't submit a job with the same id

  Scenario: Items run for their job's tenant
    Given a leader with a job of "dealers" whose items' headers contain keys and tenant names
    Then every item ran for "dealers" without a key, and all reward calls ran without a tenant

  Scenario: Jobs of an earlier version of the log
    Then a job stored without a tenant can be read and ended with any key
