Feature: A request is answered at most once

  Scenario: A caller asks three hosts at once
    When a caller sends one request id to three hosts
    Then exactly one caller gets the whole answer

  Scenario Outline: A caller asks another host during the answer
    Given a request in decode
    When <event>
    And its caller asks another host for the rest
    Then the two parts are the whole answer
    And one prefill was made for it
    And the first caller got no final marker

    Examples:
      | event                  |
      | nothing else happens   |
      | its host is killed     |
      | its host is frozen     |
      | its home is killed     |

  Scenario Outline: A caller asks again after the answer
    Given a request that was answered
    When <event>
    And its caller asks another host again
    Then it is told that the request was answered
    And one prefill was made for it

    Examples:
      | event                            |
      | nothing else happens             |
      | its home is killed               |
      | its host and its home are killed |
      | its home is replaced at once     |

  Scenario: A home that was frozen grants nothing on its old state
    Given a request in decode
    When its home is frozen
    And its caller asks another host for the rest
    And the home wakes
    And its caller asks another host again
    Then the two parts are the whole answer
    And it is told that the request was answered

  Scenario: Hosts cut off from the majority run nothing
    Given most hosts are frozen
    When a caller sends a request to one of the others
    Then it is told to come back
    And no engine ever runs it
