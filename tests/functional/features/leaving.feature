Feature: What is leaving receives no new work

  Background:
    Given callers that keep asking every host

  Scenario Outline: A runner is leaving
    When <source> says that <runner> is leaving
    Then from 5 s later on <runner> receives no new work
    And every caller is answered

    Examples:
      | source          | runner            |
      | the host list   | critique-models-4 |
      | the declaration | critique-models-1 |
      | the runner      | critique-models-5 |
      | the runner      | stock-list-1      |
      | the host list   | client-portal-2   |

  Scenario: The declaration takes a host out and in again
    When the declaration says that host-3 is leaving
    Then within 5 s no lookup names host-3
    And callers that still use host-3 are answered in full
    And from 5 s later on no request is served by host-3
    When the declaration no longer says so
    Then within 17 s every lookup names host-3

  Scenario: The host list says that a host is leaving
    When the host list says that host-4 is leaving
    Then within 5 s no lookup names host-4
    And callers that still use host-4 are answered in full
    And from 5 s later on no request is served by host-4
    And every caller is answered

  Scenario Outline: A stream through a leaving host is broken
    When the host list says that host-4 is leaving
    And a caller streams through host-4 until <break>
    Then its answer is not shown as complete
    And the runners release what they hold for it within 5 s

    Examples:
      | break                            |
      | the caller hangs up              |
      | the peer that serves it is killed |
