Feature: Requests that must not be repeated
  A key runs at most once within its window, whichever nodes its request and repeats reach.

  Background:
    Given routing of once requests over 3 nodes and 3 application workers

  Scenario: At most once under losses, kills, pauses and repeats at every point
    Then routing runs each key at most once and tells the truth, whatever is lost, killed or paused
