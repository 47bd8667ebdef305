Feature: An accepted draft gets exactly one result, even if hosts fail

  Scenario: A draft is posted at one host and fetched at another
    When draft "a" of 20 tokens is posted at host-1
    Then it is accepted and its location is returned
    And host-2 answers "a" in full within 5 s
    And another workspace cannot see "a"
    And it caused 2 writes to the key-value service

  Scenario: A draft is posted twice, and then with another body
    When draft "b" of 21 tokens is posted at host-1
    And draft "b" of 21 tokens is posted at host-2
    Then it is accepted and its location is returned
    And host-3 answers "b" in full within 5 s
    And "b" ran once
    When draft "b" of 99 tokens is posted at host-2
    Then it is refused as a conflict

  Scenario: The key-value service loses its answers after the write
    Given a key-value service that loses its answers
    When draft "c" of 22 tokens is posted at host-1
    Then it is accepted and its location is returned
    And host-2 answers "c" in full within 15 s
    And "c" ran once

  Scenario: The key-value service is unavailable
    Given a key-value service that is unavailable
    When draft "d" of 23 tokens is posted at host-1
    Then it is refused as not run, with a retry time

  Scenario: The host of one draft is killed and the host of another is frozen
    When draft "e" of 200 tokens is posted at host-1
    And draft "f" of 201 tokens is posted at host-2
    And host-1 is killed and host-2 is frozen
    Then host-3 answers "e" in full within 40 s
    And host-3 answers "f" in full within 10 s
    When host-1 is started and host-2 resumes
    Then host-2 answers "f" in full within 10 s
    And the key-value service holds one result of each draft

  Scenario: All hosts are killed at the same time
    When draft "g" of 202 tokens is posted at host-1
    And draft "h" of 203 tokens is posted at host-3
    And all hosts are killed and started again
    Then host-2 answers "g" in full within 50 s
    And host-2 answers "h" in full within 10 s
    And the key-value service holds one result of each draft
