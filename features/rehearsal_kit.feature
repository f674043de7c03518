Feature: The rehearsal kit's callers, trainers and reports tell what happened
  What callers and trainers record is what promises are checked against, so it must be true.

  Scenario: A caller tells whole answers from cut ones and from those never sent
    Given a rehearsal server that ends its answers in every way
    Then a whole rehearsal answer is read to its end and its connection is used again
    And a rehearsal answer cut at any byte is reported as cut
    And a rehearsal call to a port where nobody listens is reported as not connected

  Scenario: A stream counts only with its end marker
    Given a rehearsal stream of any frames
    Then the rehearsal stream is read whole, and any prefix without the end marker is refused

  Scenario: A caller repeats a request not to be repeated only with the same key
    Given a rehearsal node that refuses at first, then drops the answer, then answers
    When a rehearsal caller makes a request with a key
    Then all its calls bear that key and the same body, each under a request id of its own

  Scenario: A trainer takes every sample in order and acknowledges what it took
    Given a rehearsal step service with any slots, whose calls fail now and then
    When a rehearsal trainer runs three steps
    Then its journal has each slot of each step once, in order, repeats apart
    And a rehearsal version was published after each step

  Scenario: The confidence interval of a comparison is the textbook's
    Given two sets of rehearsal runs with the figures of a worked example
    Then the rehearsal comparison gives Welch's 95% interval
    And one run on a side gives no interval

  Scenario: A report has its plots inside and names every variant
    Given rehearsal results of two variants with faults, samples and latencies
    When the rehearsal report is written
    Then it has a plot of latency, training and versions, and every promise's verdict

  Scenario: A run's logs are never mixed with others
    Given a rehearsal folder of an earlier run, and a folder with somebody's file
    Then a new rehearsal run takes the place of the earlier one
    And the folder with somebody's file is refused and left as it was

  Scenario: An experiment's variants share load and faults
    Given a rehearsal experiment of two variants with random faults
    Then the rehearsal plans of a repetition differ in strategy and settings only
    And another repetition has another seed
