Feature: A caller gets the complete answer to its own request, or an explicit failure

  Scenario Outline: The engine's stream is faulty
    Given decode engines produce <fault>
    When a caller sends a <kind> request
    Then its caller gets the complete answer within 15 s
    And exactly one prefill started for it

    Examples:
      | fault                                        | kind         |
      | a cut stream                                 | streamed     |
      | a cut stream                                 | non-streamed |
      | a stream that ends without a final marker    | non-streamed |
      | a silent stream                              | streamed     |
      | duplicated chunks                            | streamed     |
      | reordered chunks                             | streamed     |
      | chunks of another request                    | streamed     |
      | cut streams and reordered chunks             | streamed     |
      | silent streams and chunks of another request | non-streamed |

  Scenario Outline: The decode runner fails during an answer
    Given a request in decode
    When its decode runner is <state>
    Then its caller gets the complete answer within 20 s

    Examples:
      | state  |
      | killed |
      | frozen |

  Scenario: All decode runners fail during an answer
    Given a request in decode
    When all decode runners are killed
    Then its caller gets a prefix of the answer, a may_have_run error and no final marker

  Scenario: A KV cache transfer stalls
    Given transfers stall
    When a caller sends a streamed request
    And later transfers do not stall
    Then its caller gets the complete answer within 15 s
