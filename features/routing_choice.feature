Feature: Choosing a back end
  Strategies, prompt prefixes, comparisons and hedges; the same choice on every node where it matters.

  Scenario: A subset keeps to near workers and survives the loss of a zone
    Then routing's subsets have their size, mostly near workers, and some elsewhere
    And routing's subsets change by one worker when one worker goes

  Scenario: A unit has the same arm on every node, and shares move only what they must
    Then routing's arms are stable under any change of one share
    And routing's arms get about their shares

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
    And routing's prefix reader asks for everything again on a gap, but not too often

  Scenario: Prefix-aware choice keeps a prefix together without a hot spot
    Then routing's prefix-aware strategy brings a new prefix to one engine from any node
    And routing's prefix-aware strategy never chooses an engine much busier than the least loaded

  Scenario: A slow lookup is hedged and the first answer counts
    Given routing over 1 engines and 3 application workers
    And routing's lookups are known to be fast
    When routing looks up while one worker hangs
    Then routing's lookup was answered by another worker while the first still hangs

  Scenario: Hedges stay within their budget
    Then routing's hedges are at most a twentieth of any requests

  Scenario: Every worker of a large pool is somebody's
    Then routing's tables of 6 nodes cover all workers of a pool larger than their subsets
