Feature: A proof delivery runs at most once

  Background:
    Given a client portal whose deliveries may not be repeated

  Scenario: It is asked at two hosts at once
    When a delivery is asked at host-1 and at host-2 at the same time
    Then it ran once
    And one of the answers is the portal's

  Scenario Outline: Its host is <failure> while it runs
    Given a portal that takes 3 s
    When a delivery is asked at host-1 and host-1 is <failure> while it runs
    And it is asked again at host-2
    Then the answer says that it may have run
    And it ran once, also after host-1 is back

    Examples:
      | failure |
      | killed  |
      | frozen  |

  Scenario: The key-value service loses its answers after the write
    Given a key-value service that loses its answers
    When a delivery is asked at host-1
    Then the answer is the portal's
    And it ran once

  Scenario Outline: The key-value service is <state>
    Given a key-value service that is <state>
    When a delivery is asked at host-1
    Then the answer came at once, says not run and when to come back
    When the key-value service is well again
    And it is asked again after that time
    Then the answer is the portal's
    And it ran once

    Examples:
      | state |
      | out   |
      | slow  |

  Scenario: The connection to the portal is cut after the run
    Given a portal whose connections are cut after the run
    When a delivery is asked at host-1
    And it is asked again at host-2
    Then the answer says that it may have run
    And it ran once

  Scenario: The host is frozen between its claim and the dispatch
    When a delivery is asked at host-1, which is frozen once its claim is written
    And it is asked again at host-2
    Then the answer says that it may have run
    And it does not run when host-1 is back

  Scenario: A request id is used for another delivery
    When a delivery is asked at host-1
    And another delivery is asked with its id
    Then the answer is a clear conflict
    And it ran once

  Scenario: Many deliveries are claimed in few calls
    When 200 deliveries are asked at host-1 at once
    Then each ran once
    And the key-value service took at most 40 writes for them

  Scenario: A large answer of the portal arrives whole
    When a delivery is asked whose answer has 3000000 characters
    Then the answer is whole

  Scenario: A call that may be repeated is tried at another runner and answered once
    Given a stock list of which one runner cuts its connections
    When 10 calls of the stock list are asked at host-1 at once
    Then all are answered
    And none is answered again under its id at host-2
