Feature: A request is served for the tenant whose key it carries
  Where the configuration has tenants, each request needs one of their keys, unless its route is
  public. Keys stay at the gateway; workers are told the tenant's name.

  Background:
    Given a gateway whose configuration has tenants "dealers" and "services"

  Scenario Outline: Which requests are run, and for whom
    When a client sends a request <what>
    Then it gets <status>, and its worker was told of <tenant>

    Examples:
      | what                                       | status | tenant       |
      | with a key of "dealers"                    | 200    | "dealers"    |
      | with another key of "dealers"              | 200    | "dealers"    |
      | with a key of "services"                   | 200    | "services"   |
      | without a key                              | 401    | nobody       |
      | with a key that nobody has                 | 401    | nobody       |
      | with a key of another scheme               | 401    | nobody       |
      | of "services" that names "dealers"         | 200    | "services"   |
      | under a public route without a key         | 200    | no tenant    |
      | under a public route that names "dealers"  | 200    | no tenant    |
      | under a public route with a key            | 200    | "dealers"    |

  Scenario: A configuration without tenants leaves clients' own headers alone
    Given a configuration without tenants is in force
    When a client sends a request with a key of "dealers"
    Then it gets 200, and its worker saw what the client sent

  Scenario: Keys that are taken away and keys that are added
    When a configuration takes the first key of "dealers" away
    Then a request with it gets 401, and one with the other key 200
    When a configuration gives "dealers" a new key
    Then a request with the new key gets 200

  Scenario: A gateway whose configuration may be old
    Given the gateway's configuration may be 30 s old
    Then a known key is served, an unknown one is sent elsewhere, and no key is refused

  Scenario: Keys that are to be revoked strictly
    Then a known key is served up to the agreed age of the configuration, and sent elsewhere after it

  Scenario: Configurations in any order
    Then a key is accepted as the newest configuration heard of says, in whatever order they come

  Scenario: A key never leaves the gateway
    When clients send requests with keys, known and unknown, that succeed and fail
    Then no log line, metric, answer or worker has seen a key

  Scenario: An error of the platform's store
    Then what is told of it holds nothing of what the store answered

  Scenario: A batch job belongs to its tenant
    Given a ledger with a job of "dealers"
    Then "dealers" reads it, its bodies and its end
    And to "services" it is not there, before and after a snapshot
    And "services" can't hand in a job with its id

  Scenario: Items run for their job's tenant
    Given a leader with a job of "dealers" whose items' headers hold keys and names of tenants
    Then every item ran for "dealers" without a key, and no reward call for anybody

  Scenario: Jobs of an earlier version of the log
    Then a job that was kept without a tenant is read and ended with any key
