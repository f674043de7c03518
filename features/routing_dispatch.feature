Feature: Serving requests on back ends
  A request gets its whole answer or one typed refusal, and "not run" is said only when it is true.

  Background:
    Given routing over 3 engines and 3 application workers

  Scenario: A stream that is cut goes on elsewhere without gap or repeat
    Then routing streams stay whole for any cuts

  Scenario: An engine with a newer version goes on and the chunks name both versions
    When routing generates 8 tokens while the first engine breaks after 3 and the others hold version 2
    Then routing's answer has 3 tokens of version 1 and 5 of version 2

  Scenario Outline: A stream whose engine falls silent goes on elsewhere
    When routing generates while the first engine falls silent after <tokens> tokens and <probes>
    Then routing's answer is whole long before the silence ends, and the silent attempt is cancelled

    Examples:
      | tokens | probes               |
      | 3      | still answers probes |
      | 3      | answers no probes    |
      | 0      | answers no probes    |

  Scenario: A silent engine is waited for when there is no other
    When routing generates while the first engine falls silent and the others are dead
    Then routing's watch leaves the stream alone

  Scenario: A request is tried rather than refused when every circuit is open
    When routing's workers have all failed until their circuits opened and work again
    Then routing serves a request at once

  Scenario: Callers in a hurry open no circuit
    When routing's callers give each worker 10 times less time than it takes
    Then routing refuses them by their deadline and leaves all circuits closed

  Scenario: The first token of a trial closes the circuit
    When routing's engines have open circuits and a long stream has begun as the trial
    Then routing's circuit of that engine is closed while the stream still runs

  Scenario: A request waits a moment for an engine that swaps its weights
    When routing generates while all engines swap and one ends its swap after refusing
    Then routing's answer is whole and cost each engine at most one refusal

  Scenario: A request is refused at once when no engine can be reached
    When routing generates while all engines are dead
    Then routing refuses it as no_backend and not run, with a time to return

  Scenario: A caller that goes away cancels on the engine
    When routing's caller cancels a stream that is running
    Then routing cancels that attempt on its engine
    And routing has nothing in hand

  Scenario: Cancelling on engines that hang holds one thread for each
    When routing cancels 50 attempts on each of 3 engines that hang
    Then routing holds at most 3 background threads for it, and tells the engines all when they come back

  Scenario: A caller that stops reading at the last chunk leaves nothing in hand
    When routing's callers stop reading 3 streams at their last chunks
    Then routing has nothing in hand

  Scenario: A caller that stops reading at the finish reason leaves nothing in hand
    When routing's caller reads a stream up to its finish reason only
    Then routing has nothing in hand
    And routing has read that stream to its end and cancelled nothing

  Scenario: A planned stop refuses new work and ends the work in hand
    When routing drains while a stream is running
    Then routing refuses a new request as draining and not run
    And routing's running stream ends whole before the drain does

  Scenario: A stop ends streams that nobody reads
    When routing is drained and stopped with a stream that nobody reads
    Then routing cancels that attempt on its engine
    And routing has nothing in hand

  Scenario: A lookup is retried elsewhere whatever happened to the first attempt
    Then routing answers lookups whole after one fault of any kind

  Scenario: A post that may not be repeated is retried only when it surely has not run
    Then routing's refusals of interactive posts tell the truth for any faults

  Scenario: A dead worker costs each request one attempt at most
    Given routing's worker app-0 is dead but not yet noticed
    When routing forwards 30 lookups
    Then routing has answered all of them with at most 1 failed attempt each

  Scenario: A total outage is not amplified
    Given routing's workers are all dead but not yet noticed
    When routing forwards 200 lookups
    Then routing has refused all of them as not run with fewer than 1.2 attempts each

  Scenario Outline: A leaving worker gets no new work
    When routing's worker app-1 leaves by <source>
    Then routing soon sends it nothing new

    Examples:
      | source            |
      | its own answer    |
      | its own report    |
      | the operator      |
