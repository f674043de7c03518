Feature: Serving requests on back ends
  A request gets its whole answer or one typed refusal, and "not run" is said only when it is true.

  Background:
    Given routing over 3 engines and 3 application workers

  Scenario: A stream that is cut goes on elsewhere without gap or repeat
    Then routing's streams are complete for any stream failures

  Scenario: An engine with a newer version goes on and the chunks name both versions
    When routing generates 8 tokens while the first engine's stream fails after 3 and the others hold version 2
    Then routing's answer has 3 tokens of version 1 and 5 of version 2

  Scenario Outline: A stream whose engine falls silent goes on elsewhere
    When routing generates while the first engine stalls after <tokens> tokens and <probes>
    Then routing's answer is complete long before the stall ends, and the stalled attempt is cancelled

    Examples:
      | tokens | probes               |
      | 3      | still answers probes |
      | 3      | answers no probes    |
      | 0      | answers no probes    |

  Scenario: A silent engine is waited for when there is no other
    When routing generates while the first engine stalls and the others are dead
    Then routing's watchdog does not abort the stream

  Scenario: A request is tried rather than refused when every circuit is open
    When routing's workers have all failed until their circuits opened and work again
    Then routing serves a request at once

  Scenario: Callers in a hurry open no circuit
    When routing's callers send each worker 10 requests with too short a deadline
    Then routing refuses them by their deadline and leaves all circuits closed

  Scenario: The first token of a trial closes the circuit
    When routing's engines have open circuits and a long stream has started as the trial
    Then routing's circuit of that engine is closed while the stream still runs

  Scenario: A request waits a moment for an engine that swaps its weights
    When routing generates while all engines swap weights and one completes its swap after refusing
    Then routing's answer is complete after at most one refusal by each engine

  Scenario: A request is refused at once when no engine can be reached
    When routing generates while all engines are dead
    Then routing refuses it as no_backend and not run, with a retry delay

  Scenario: A caller that goes away cancels on the engine
    When routing's caller cancels a stream that is running
    Then routing cancels that attempt on its engine
    And routing has no request in flight

  Scenario: Cancelling on engines that hang holds one thread for each
    When routing cancels 50 attempts on each of 3 engines that hang
    Then routing uses at most 3 background threads for it, and cancels all attempts when the engines respond again

  Scenario: A caller that stops reading at the last chunk leaves nothing in hand
    When routing's callers stop reading 3 streams at their last chunks
    Then routing has no request in flight

  Scenario: A caller that stops reading at the finish reason leaves nothing in hand
    When routing's caller reads a stream up to its finish reason only
    Then routing has no request in flight
    And routing has read that stream to its end and cancelled nothing

  Scenario: A planned stop refuses new work and ends the work in hand
    When routing drains while a stream is running
    Then routing refuses a new request as draining and not run
    And routing's running stream completes before the drain does

  Scenario: A stop ends streams that nobody reads
    When routing is drained and stopped with a stream that nobody reads
    Then routing cancels that attempt on its engine
    And routing has no request in flight

  Scenario: A lookup is retried elsewhere whatever happened to the first attempt
    Then routing answers lookups completely after one fault of any kind

  Scenario: A post that may not be repeated is retried only when it surely has not run
    Then routing's refusals of interactive posts state correctly whether they ran, for any faults

  Scenario: A dead worker costs each request one attempt at most
    Given routing's worker app-0 is dead but not yet detected
    When routing forwards 30 lookups
    Then routing has answered all of them with at most 1 failed attempt each

  Scenario: A total outage is not amplified
    Given routing's workers are all dead but not yet detected
    When routing forwards 200 lookups
    Then routing has refused all of them as not run with fewer than 1.2 attempts each

  Scenario Outline: A leaving worker gets no new work
    When routing's worker app-1 leaves by <source>
    Then routing soon sends it no new requests

    Examples:
      | source            |
      | its own answer    |
      | its own report    |
      | the operator      |
