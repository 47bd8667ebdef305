Feature: A caller gets the whole answer to its own request, or a clear failure

  Scenario Outline: The engine's stream is disturbed
    Given engines show <fault>
    When a caller sends a <kind> request
    Then it gets the whole answer within 15 s
    And one prefill was made for it

    Examples:
      | fault                              | kind     |
      | a cut stream                       | streamed |
      | a cut stream                       | whole    |
      | an ended stream                    | whole    |
      | a silent stream                    | streamed |
      | doubled chunks                     | streamed |
      | reordered chunks                   | streamed |
      | foreign chunks                     | streamed |
      | cut streams and reordered chunks   | streamed |
      | silent streams and foreign chunks  | whole    |

  Scenario Outline: The decode runner fails in the middle of an answer
    Given a request in decode
    When its decode runner is <state>
    Then it gets the whole answer within 20 s

    Examples:
      | state  |
      | killed |
      | frozen |

  Scenario: All decode runners die in the middle of an answer
    Given a request in decode
    When all decode runners are killed
    Then it gets an error that says may_have_run and no final marker

  Scenario: A KV cache transfer stalls
    Given transfers stall
    When a caller sends a streamed request
    And transfers go on
    Then it gets the whole answer within 15 s
