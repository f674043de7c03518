Feature: Ownership of workers
  Each worker has one owner that probes it and sends it orders.

  Scenario: Owners are those of rendezvous hashing, whatever the order of events
    Then ownership answers as an oracle that places every worker anew, through any changes

  Scenario: Only workers of a member that went move
    Given an ownership view of 12 members in 3 zones and 300 workers
    When an ownership member dies
    Then only workers owned by that member have a new owner, spread over its zone

  Scenario: A suspect keeps its workers, a leaving member loses them at once
    Given an ownership view of 12 members in 3 zones and 300 workers
    When an ownership member is suspected
    Then no worker has a new owner
    When that ownership member is leaving
    Then only workers owned by that member have a new owner, spread over its zone

  Scenario: A member that joins owns nothing until it has settled
    Given an ownership view of 12 members in 3 zones and 300 workers
    When an ownership member joins zone-0
    Then no worker has a new owner
    When the ownership settling time is over
    Then workers moved only to the member that joined, from its zone

  Scenario: A zone without members is owned from its region
    Given an ownership view of 12 members in 3 zones and 300 workers
    When all ownership members of zone-0 die
    Then every worker of zone-0 is owned within its region

  Scenario: Views that differ for a while agree once they have seen the same members
    Then ownership views that saw the same members in another order agree after settling
