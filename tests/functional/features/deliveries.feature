Feature: A proof delivery runs at most once

  Background:
    Given a client portal whose deliveries must not be repeated

  Scenario: A delivery is requested at two hosts at the same time
    When a delivery is requested at host-1 and at host-2 at the same time
    Then it ran once
    And one of the answers is the portal's

  Scenario Outline: The host is <failure> while the delivery runs
    Given a portal whose deliveries take 3 s
    When a delivery is requested at host-1 and host-1 is <failure> while it runs
    And it is requested again at host-2
    Then the answer says that it may have run
    And it ran once, also after host-1 resumes

    Examples:
      | failure |
      | killed  |
      | frozen  |

  Scenario: The key-value service loses its answers after the write
    Given host-1 has a lease for its claims
    And a key-value service that loses its answers
    When a delivery is requested at host-1
    Then the answer is the portal's
    And it ran once

  Scenario: The key-value service loses its answers while the host has no lease
    Given host-1 has just started
    And a key-value service that loses its answers
    When a delivery is requested at host-1
    Then the delivery is refused at once as not run, with a retry time
    When the key-value service recovers
    And it is requested again after the retry time
    Then the answer is the portal's
    And it ran once

  Scenario Outline: The key-value service is <state>
    Given a key-value service that is <state>
    When a delivery is requested at host-1
    Then the delivery is refused at once as not run, with a retry time
    When the key-value service recovers
    And it is requested again after the retry time
    Then the answer is the portal's
    And it ran once

    Examples:
      | state       |
      | unavailable |
      | slow        |

  Scenario: The portal closes its connections after the run
    Given a portal that closes its connections after the run
    When a delivery is requested at host-1
    And it is requested again at host-2
    Then the answer says that it may have run
    And it ran once

  Scenario: The host is frozen between its claim and the dispatch
    When a delivery is requested at host-1, which freezes after writing its claim
    And it is requested again at host-2
    Then the answer says that it may have run
    And it does not run after host-1 resumes

  Scenario: A request id is used for another delivery
    When a delivery is requested at host-1
    And another delivery is requested with its id
    Then the answer is a conflict
    And it ran once

  Scenario: Many deliveries are claimed in few transactions
    When 200 deliveries are requested at host-1 at the same time
    Then each ran once
    And they caused at most 40 writes to the key-value service

  Scenario: A large answer of the portal is relayed completely
    When a delivery with an answer of 3000000 characters is requested
    Then the answer is complete

  Scenario: An idempotent call is retried at another runner and answered once
    Given a stock list with one runner that closes its connections
    When 10 calls of the stock list are made at host-1 at the same time
    Then all are answered
    And none is answered again under its id at host-2
