Feature: Examples in doc comments hold
  An example in a doc comment is read as a promise, so it runs.

  Scenario: Every example
    Then each example in the doc comments of the service gives what it says
