Feature: The stand-in engine streams, resumes, cancels, obeys fenced orders and fails on command

  Background:
    Given a running stand-in engine "one" that holds version 1

  Scenario: A stand-in stream that was cut resumes elsewhere without a gap or a repeat
    Given a running stand-in engine "two" that holds version 1
    When a stand-in stream of 60 tokens on "one" is cut by a fault after its first tokens
    Then the stand-in stream ended with an unknown outcome and without a finish reason
    When the stand-in stream is resumed on "two" from the tokens had
    Then both parts together are the 60 tokens that the stand-in token model gives
    And the stand-in logs name every token once, with version 1

  Scenario: A stand-in engine notices a client that goes away
    When a stand-in stream of 1000000 tokens on "one" is closed by its client after its first tokens
    Then the stand-in engine "one" logs that attempt as "cancelled"
    And the stand-in engine "one" runs nothing

  Scenario: A stand-in engine cancels an attempt by its id
    When a stand-in stream of 1000000 tokens on "one" is cancelled by id after its first tokens
    Then the stand-in stream ends with finish reason "cancelled"

  Scenario: A stand-in engine serves interactive calls before drafts
    Given the stand-in engine "one" is slow while 100 drafts of 100 tokens fill it
    When a stand-in interactive call of 5 tokens is made on "one" and the slow-down ends
    Then the stand-in interactive call took a draft's place and ended before any draft
    And every stand-in draft ends whole

  Scenario: A stand-in engine finds repeated prompts in its prefix cache and tells of it
    When the same stand-in prompt of 640 characters is generated twice on "one"
    Then the second stand-in answer reports 160 cached prompt tokens of 161
    And the stand-in cache events name the 10 blocks of the prompt

  Scenario: Stand-in cache events come with gaps, and a gap shows
    Given a running stand-in engine "gappy" that loses half of its cache events
    When 20 stand-in prompts of 640 characters are generated on "gappy"
    Then the stand-in cache events of "gappy" are marked as incomplete
    And asking "gappy" after a sequence number of an earlier life gives all events, marked as incomplete

  Scenario: A newer stand-in order swaps the weights and an older one is refused
    Given a running stand-in weight store that holds version 2
    When "one" is ordered to version 2 with fence 5 from the stand-in store
    Then the stand-in engine "one" comes to hold version 2
    And a stand-in order to version 1 with fence 4 to "one" is "fenced"
    And the stand-in order to "one" once more changes nothing
    And another stand-in order with the fence of the last one to "one" is "invalid"

  Scenario: A newer stand-in order for the version that is being fetched lets the swap go on
    Given a running stand-in weight store that holds version 2
    And the stand-in store hangs
    When "one" is ordered to version 2 with fence 5 from the stand-in store
    And "one" is ordered to version 2 with fence 6 from the stand-in store
    And the stand-in store hangs no more
    Then the stand-in engine "one" comes to hold version 2
    And the stand-in engine "one" has logged one swap without an error

  Scenario: Stand-in weights go from engine to engine
    Given a running stand-in weight store that holds version 2
    And a running stand-in engine "two" that holds version 1
    When "one" is ordered to version 2 with fence 5 from the stand-in store
    And the stand-in engine "one" has come to hold version 2
    And "two" is ordered to version 2 with fence 5 from "one"
    Then the stand-in engine "two" comes to hold version 2
    And the stand-in store has been read once

  Scenario: A stand-in generation goes on over a swap, and each token names its version
    Given a running stand-in weight store that holds version 2
    When a stand-in stream of 4000 tokens on "one" runs while it is ordered to version 2
    Then the stand-in stream is whole, begins with version 1 and ends with version 2

  Scenario: A stand-in swap that fails partway leaves the engine without weights until it is repeated
    Given a running stand-in weight store that holds version 2
    And the next stand-in swap on "one" fails partway
    When "one" is ordered to version 2 with fence 5 from the stand-in store
    Then the stand-in engine "one" reports a swap error and no version
    And a stand-in call on "one" is refused as "not_run"
    When "one" is ordered to version 2 with fence 5 from the stand-in store
    Then the stand-in engine "one" comes to hold version 2

  Scenario: A stand-in engine whose sources fail keeps serving the old version
    When "one" is ordered to version 2 with fence 5 from an address where nobody listens
    Then the stand-in engine "one" reports a swap error and version 1

  Scenario Outline: A stand-in engine refuses what it must not run, and its log has no trace of a run
    When a stand-in call <call> is made on "one"
    Then the stand-in call is refused as "<kind>" and logged as refused only

    Examples:
      | call                              | kind    |
      | while the engine is leaving       | leaving |
      | with minimum version 2            | not_run |
      | whose deadline has passed         | not_run |
      | for another model                 | not_run |
      | as a draft on an interactive role | not_run |

  Scenario: A stand-in attempt whose deadline passes while it waits was not run
    Given the stand-in engine "one" is slow while 100 drafts of 100 tokens fill it
    When a stand-in draft that nobody can serve within its deadline is made on "one"
    Then the stand-in stream ended as not run

  Scenario: Stand-in KV caches move between engines with the same weights only
    Given a running stand-in engine "two" that holds version 1
    When the KV cache of a stand-in prompt of 640 characters goes from "one" to "two"
    Then the same stand-in prompt on "two" reports 160 cached prompt tokens of 161
    And an export of other weights is refused by "two"

  Scenario: A stand-in engine serves 200 streams at once
    When 200 stand-in streams of 40 tokens are read at once from "one"
    Then every one of those stand-in streams is whole

  Scenario: A stand-in stream that falls silent is given up after the silence its call permits
    When a stand-in stream of 1000000 tokens that permits 2 seconds of silence hangs for 60 seconds
    Then the stand-in stream ended with an unknown outcome and without a finish reason

  Scenario: A stand-in attempt that waits for its turn is not taken for a silent one
    Given the stand-in engine "one" generates nothing for 3 seconds
    When a stand-in stream of 5 tokens that permits 2.5 seconds of silence is read
    Then the stand-in stream ends with finish reason "length"

  Scenario: A stand-in engine that hangs answers again after the fault
    Given the stand-in engine "one" hangs
    Then a stand-in state report of "one" with a time limit of 1 second fails as "unknown"
    And a stand-in state report of "one" succeeds once the fault has ended

  Scenario: A stand-in engine that hangs generates nothing meanwhile
    When a stand-in stream of 1000000 tokens on "one" meets a hang after its first tokens
    Then the stand-in engine "one" comes to produce nothing more
