Feature: Leaving runners and hosts receive no new work

  Background:
    Given callers that send requests to every host continuously

  Scenario Outline: A runner is leaving
    When <source> marks <runner> as leaving
    Then <runner> receives no new work after 5 s
    And every reply so far is a complete answer

    Examples:
      | source            | runner            |
      | the host list     | critique-models-4 |
      | the declaration   | critique-models-1 |
      | the runner itself | critique-models-5 |
      | the runner itself | stock-list-1      |
      | the host list     | client-portal-2   |

  Scenario: The declaration marks a host as leaving and then no longer
    When the declaration marks host-3 as leaving
    Then within 5 s no lookup returns host-3
    And requests sent to host-3 still get complete answers or the correct error
    And host-3 starts no generation after 5 s
    When the declaration no longer marks it as leaving
    Then within 17 s every lookup returns host-3

  Scenario: The host list marks a host as leaving
    When the host list marks host-4 as leaving
    Then within 5 s no lookup returns host-4
    And requests sent to host-4 still get complete answers or the correct error
    And host-4 starts no generation after 5 s
    And every reply so far is a complete answer

  Scenario Outline: A stream through a leaving host is interrupted
    When the host list marks host-4 as leaving
    And a caller streams through host-4 until <event>
    Then its answer is not marked as complete
    And the runners abort the generation and release its slot within 5 s

    Examples:
      | event                             |
      | the caller disconnects            |
      | the peer that serves it is killed |
