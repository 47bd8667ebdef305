Feature: Leaving runners and hosts receive no new work

  Background:
    Given callers that send requests to every host continuously

  Scenario Outline: A runner is leaving
    When <source> marks <runner> as leaving
    Then <runner> receives no new work after 5 s
    And every request is answered

    Examples:
      | source          | runner            |
      | the host list   | critique-models-4 |
      | the declaration | critique-models-1 |
      | the runner      | critique-models-5 |
      | the runner      | stock-list-1      |
      | the host list   | client-portal-2   |

  Scenario: The declaration marks a host as leaving and then no longer
    When the declaration marks host-3 as leaving
    Then within 5 s no lookup returns host-3
    And requests sent to host-3 are still answered completely
    And no request is served by host-3 after 5 s
    When the declaration no longer marks it as leaving
    Then within 17 s every lookup returns host-3

  Scenario: The host list marks a host as leaving
    When the host list marks host-4 as leaving
    Then within 5 s no lookup returns host-4
    And requests sent to host-4 are still answered completely
    And no request is served by host-4 after 5 s
    And every request is answered

  Scenario Outline: A stream through a leaving host is interrupted
    When the host list marks host-4 as leaving
    And a caller streams through host-4 until <break>
    Then its answer is not marked as complete
    And the runners release its memory within 5 s

    Examples:
      | break                             |
      | the caller disconnects            |
      | the peer that serves it is killed |
