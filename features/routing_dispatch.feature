Feature: Serving requests on back ends
  A request gets its whole answer or one typed refusal, and "not run" is said only when it is true.

  Background:
    Given routing over 3 engines and 3 application workers

  Scenario: A stream that is cut goes on elsewhere without gap or repeat
    Then routing streams stay whole for any cuts

  Scenario: An engine with a newer version goes on and the chunks name both versions
    When routing generates 8 tokens while the first engine breaks after 3 and the others hold version 2
    Then routing's answer has 3 tokens of version 1 and 5 of version 2

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

  Scenario: A planned stop refuses new work and ends the work in hand
    When routing drains while a stream is running
    Then routing refuses a new request as draining and not run
    And routing's running stream ends whole before the drain does

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
