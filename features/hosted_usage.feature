Feature: What tenants use is counted by window and reported once
  Gateways count the requests that workers begin, the log adds the counts up, and the holder of the
  duties' lease reports each window. Two reports of a window never differ.

  Scenario: Requests that begin, and those that don't
    Given a gateway that counts for tenants, before two workers
    Then a request is counted once for its tenant, also when it runs twice, and not when it is refused

  Scenario: Counts told in any order, again and again, lost and through snapshots
    Then a window's sum is what its gateways had told when it was settled, and never changes

  Scenario: Counts that can't be told
    Given a ledger that is away for a while
    Then counts are told again until they are there, and none twice

  Scenario: Holders, lost answers and outages in any order
    Then every report of a window has the same counts, and fences never go back

  Scenario: Windows are reported in time
    Given a reporter that holds the lease
    When windows end one after the other
    Then each is reported once, in order, before it is due
    When the platform is silent for a while
    Then the windows of that time are reported as soon as it answers
    When the platform is silent until windows are overdue
    Then those are passed over, with a line that says so

  Scenario: A clock that jumps and returns
    Then true time does not follow a jump that does not last, and follows one that does

  Scenario: Calls of the platform's interface for duties
    Given a platform that takes usage reports
    Then a report names its window, counts, holder and fence, and its answers are understood
