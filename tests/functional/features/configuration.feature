Feature: An accepted declaration takes effect at every host and is never reverted

  Background:
    Given a fleet of 8 hosts with a declaration in force

  Scenario: The key-value service loses its answers after the write
    Given the key-value service loses its answers
    When an operator applies a new declaration
    Then the apply ends with exit code 0
    And every live host has the newest generation in force within 17 s

  Scenario: The key-value service is slow and loses its answers
    Given the key-value service is slow and loses its answers
    When an operator applies a new declaration
    Then the apply ends with exit code 0
    And every live host has the newest generation in force within 17 s

  Scenario: An apply is retried with the same id after an outage
    Given the key-value service is down
    When an operator applies a new declaration as "repeat-1"
    Then the apply ends with exit code 5
    Given the key-value service works
    When an operator applies a new declaration as "repeat-1"
    And an operator applies the same declaration as "repeat-1"
    Then the apply ends with exit code 0
    And the generation has increased by 1

  Scenario: Two operators apply concurrently at different hosts
    Given the key-value service loses its answers
    When two operators apply changes based on the same generation
    Then one apply ends with exit code 0 and the other with exit code 4
    And the generation has increased by 1
    And every live host has the newest generation in force within 17 s

  Scenario: A frozen host resumes
    Given host-3 is frozen
    When an operator applies a new declaration
    Then the apply ends with exit code 0
    When host-3 resumes
    Then every live host has the newest generation in force within 17 s

  Scenario: A host starts while the key-value service is down
    Given the key-value service is down
    When a new host starts
    Then every live host has the newest generation in force within 17 s

  Scenario: The key-value service is restored to an older state
    When an operator applies a new declaration
    And the key-value service is restored to its previous state
    Then no host reverts to an older generation within 5 s
    And the key-value service holds the newest generation again
    When an operator applies a new declaration
    Then the apply ends with exit code 0
    And every live host has the newest generation in force within 17 s

  Scenario: A host that reaches neither the store nor a majority refuses requests
    Given the key-value service is down
    Then host-1 serves requests for 16 s
    Given all hosts but host-1 and host-2 are frozen
    Then host-1 refuses a request with code "stale_configuration" and outcome "not_run" within 20 s
    When the frozen hosts resume
    Then host-1 serves requests within 10 s

  Scenario: A delayed order is refused or corrected
    Given version "v2" is declared and loaded everywhere
    When a delayed order with an old fencing token for version "v1" reaches each runner
    Then runners that check fencing tokens refused the order
    And every runner has version "v2" within 5 s

  Scenario: The holder of the order lease is frozen and another host takes over
    Given version "v3" is declared and loaded everywhere
    When the host that holds the order lease of each pool is frozen
    And version "v4" is declared
    Then every runner has version "v4" within 25 s
    When the frozen hosts resume
    Then every runner keeps version "v4" for 4 s
    And the fencing tokens of each pool never decreased

  Scenario: Runners of a pool load from the weight store one at a time
    Given loading takes 1 s
    When version "v5" is declared
    Then every runner has version "v5" within 25 s
    And no two runners of a pool loaded weights at the same time
