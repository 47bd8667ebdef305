Feature: A graceful shutdown interrupts no request in progress

  Scenario: A host receives SIGTERM while long requests run
    Given a streamed request, a non-streamed request and a delivery of 27 s each at host-1
    And a draft of 27 s that host-1 accepted
    When host-1 receives SIGTERM after 1 s and lookups omit it within 5 s
    And a caller with an outdated lookup sends a request to host-1 during the shutdown
    Then that request is answered completely
    And the three requests of 27 s are answered completely
    And host-1 then exits with code 0
    And the draft is answered and exactly one run of it finishes
