Feature: A request is answered at most once

  Scenario: A caller sends a request to three hosts at once
    When a caller sends one request id to three hosts
    Then exactly one call gets the complete answer and exactly one run finishes

  Scenario Outline: A caller resumes an answer at another host
    Given a request in decode
    When <event>
    And its caller requests the rest from another host
    Then the two parts form the complete answer
    And exactly one prefill started for it
    And the first call received no final marker

    Examples:
      | event              |
      | no failure occurs  |
      | its host is killed |
      | its host is frozen |
      | its home is killed |

  Scenario Outline: A caller repeats the request after the answer
    Given a request that was answered
    When <event>
    And its caller repeats the request at another host
    Then the reply says that the request was already answered
    And exactly one prefill started for it

    Examples:
      | event                            |
      | no failure occurs                |
      | its home is killed               |
      | its host and its home are killed |
      | its home is replaced at once     |

  Scenario: A home that was frozen grants no attempt from its outdated state
    Given a request in decode
    When its home is frozen
    And its caller requests the rest from another host
    And the home resumes
    And its caller repeats the request at another host
    Then the two parts form the complete answer
    And the reply says that the request was already answered

  Scenario: Hosts cut off from the majority run no request
    Given most hosts are frozen
    When a caller sends a request to a host that still runs
    Then the reply is a 503 with the outcome may_have_run and a retry delay
    And no engine runs it
