Feature: Choosing a back end
  Subsets, strategies, prompt prefixes, comparisons and hedged requests.

  Scenario: A subset keeps to near workers and survives the loss of a zone
    Then routing's subsets have the given size, with mostly near workers and some in other zones
    And routing's subsets change by at most two workers when one is removed

  Scenario: A unit has the same arm on every node, and shares move only what they must
    Then routing moves units only from or to the arm whose share changes
    And routing assigns units to arms in proportion to their shares

  Scenario: A comparison routes a unit to its arm's version
    Given routing over 3 engines and 1 application workers
    And routing's comparison of versions 1 and 2 over engines of both
    Then routing's generations of a unit all come from the version of its arm

  Scenario: Results are counted by arm and shown as metrics
    Given routing over 3 engines and 1 application workers
    And routing's comparison of versions 1 and 2 over engines of both
    When routing generates for 20 units
    Then routing's counts by arm add up to 20 completed, 40 tokens and 20 first tokens
    And routing's metrics show them

  Scenario: The index follows an engine's cache, over restarts too
    Then routing's prefix index equals the engine's cache for any prompts, evictions and restarts
    And routing's cache event reader resyncs after gaps, at most once per interval

  Scenario: Prefix-aware choice keeps a prefix together without a hot spot
    Then routing's prefix-aware strategy sends a new prefix to the same engine from all nodes
    And routing's prefix-aware strategy never chooses an engine much busier than the least loaded

  Scenario: A slow lookup is hedged and the first answer counts
    Given routing over 1 engines and 3 application workers
    And routing has recorded fast lookups
    When routing forwards a lookup while one worker hangs
    Then routing's lookup was answered by another worker while the first still hangs

  Scenario: Hedges stay within their budget
    Then routing's hedges stay within the hedge ratio for any number of requests

  Scenario: Every worker of a large pool is somebody's
    Then routing's tables of 6 nodes cover all workers of a pool larger than their subsets
