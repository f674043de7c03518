Feature: The stand-in engine's batch follows its documented model

  A step with b sequences, p prefilled prompt tokens and c tokens in the KV cache takes
  step + (b + p) * token + c * context. With 10 ms, 1 ms and 0.1 ms the times below are worked
  out by hand; prompts are prefilled in chunks of at most 120 tokens a step.

  Scenario: A stand-in batch of two sequences takes the time computed by hand
    Given a stand-in batch for 4 sequences with steps of 10 ms, tokens of 1 ms and context of 0.1 ms
    And a stand-in sequence "a" with a prompt of 100 tokens that ends at 2 tokens
    And a stand-in sequence "b" with a prompt of 50 tokens that ends at 3 tokens
    When the stand-in batch runs to its end
    Then the stand-in batch has taken these steps
      | prefilled | decoded | milliseconds | why                                    |
      | a:100 b:20 |        | 130.0        | 10 + 120*1                             |
      | b:30      | a       | 51.1         | 10 + (1+30)*1 + 101*0.1                |
      |           | b       | 16.1         | 10 + 1*1 + 51*0.1                      |
      |           | b       | 16.2         | 10 + 1*1 + 52*0.1                      |

  Scenario: A stand-in sequence resumed from earlier tokens prefills them and produces the rest
    Given a stand-in batch for 4 sequences with steps of 10 ms, tokens of 1 ms and context of 0.1 ms
    And a stand-in sequence "a" with a prompt of 30 tokens and 10 tokens had that ends at 12 tokens
    When the stand-in batch runs to its end
    Then the stand-in batch has taken these steps
      | prefilled | decoded | milliseconds | why                |
      | a:40      |         | 50.0         | 10 + 40*1          |
      |           | a       | 15.1         | 10 + 1*1 + 41*0.1  |

  Scenario: An interactive stand-in sequence takes the place of a draft, which computes its cache again
    Given a stand-in batch for 1 sequence with steps of 10 ms, tokens of 1 ms and context of 0.1 ms
    And a stand-in draft "d" with a prompt of 20 tokens that ends at 4 tokens
    When the stand-in batch runs 2 steps
    And a stand-in sequence "i" with a prompt of 10 tokens that ends at 1 token arrives
    And the stand-in batch runs to its end
    Then the stand-in batch has taken these steps
      | prefilled | decoded | milliseconds | why                |
      | d:20      |         | 30.0         | 10 + 20*1          |
      |           | d       | 13.1         | 10 + 1*1 + 21*0.1  |
      | i:10      |         | 20.0         | 10 + 10*1          |
      | d:22      |         | 32.0         | 10 + 22*1          |
      |           | d       | 13.3         | 10 + 1*1 + 23*0.1  |

  Scenario: Stand-in steps planned together take as long as the same steps one by one
    Then for any stand-in batch the planned steps take as long together as one by one

  Scenario: Any stand-in batch ends every sequence whole and serves higher priorities first
    Then any sequence of arrivals, cancellations and steps keeps the stand-in batch's rules

  Scenario: A stand-in prefix cache holds its limit and evicts what was used least recently
    Then any sequence of prompts keeps a stand-in prefix cache equal to a simple list

  Scenario: Stand-in lengths are heavy-tailed as documented
    Then of 20000 stand-in lengths with median 100 the median, the longest and the share agree
