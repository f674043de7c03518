Feature: Usage of tenants is counted per time window and reported once
  Gateways count the requests that workers start, the replicated log adds up the counts, and the
  lease holder reports each window. Two reports of a window never differ.

  Scenario: Requests that begin, and those that don't
    Given a gateway that counts usage of tenants, with two workers
    Then a request is counted once for its tenant, even if it runs twice, and not if it is refused

  Scenario: Counts sent in any order, repeatedly, lost and across snapshots
    Then a window's total is what its gateways had sent when it was settled, and never changes

  Scenario: Counts that can't be sent
    Given a ledger that is unavailable for a while
    Then counts are sent again until they are stored, and none is counted twice

  Scenario: Holders, lost answers and outages in any order
    Then every report of a window has the same counts, and fencing tokens never decrease

  Scenario: Windows are reported in time
    Given a reporter that holds the lease
    When windows end one after the other
    Then each is reported once, in order, before it is due
    When the platform takes no reports for a while
    Then the windows of that time are reported as soon as it takes reports again
    When the platform takes no reports until windows are overdue
    Then those are skipped and logged as missed

  Scenario: A clock that jumps and returns
    Then the stable clock ignores a jump that does not last, and adopts one that does

  Scenario: Calls of the platform's interface for duties
    Given a platform that takes usage reports
    Then a report has its window, counts, holder and fencing token, and all statuses are understood
