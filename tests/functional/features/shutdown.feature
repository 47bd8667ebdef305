Feature: A graceful shutdown interrupts no request in progress

  Scenario: A host receives SIGTERM while long requests run
    Given a streamed request, a non-streamed request and a delivery of 27 s each at host-1
    And a draft of 27 s that runs on host-1
    When host-1 receives SIGTERM after 1 s
    And a caller with an outdated lookup sends a request to host-1
    Then that request is answered completely
    And all requests at host-1 are answered completely
    And host-1 then exits with code 0
    And the draft is released and answered once
