Feature: The outcome "not run" is never reported for a request that an engine ran

  Scenario: Decoding is refused after the prefill ran
    Given decode engines refuse all calls
    When a caller sends a streamed request
    Then the reply says that the request may have run

  Scenario: A retry finds no free slot after an attempt that ran
    Given decode engines refuse all calls
    And a request that failed after its prefill
    And all slots are taken
    When its caller repeats the request at another host
    Then the reply says that the request may have run

  Scenario: An attempt that ran is taken over while no slot is free
    Given a request in decode
    And all slots are taken
    When its host is frozen
    And its decode runner is killed
    And its caller repeats the request at another host
    Then the reply says that the request may have run

  Scenario: A host that was frozen before dispatch resumes after the deadline
    Given a request that waits for a slot at a host that is then frozen
    When the callers of the other requests disconnect
    And its host resumes after the first token was due
    Then no engine runs it

  Scenario: Hosts and engines fail under load
    Given 60 requests, some of which are sent to two hosts
    When hosts and engines are killed and frozen and callers disconnect while the requests run
    Then no request reported as not run was run
    And every complete answer is correct and no request has two
    And engines hold no resources for any of them after 5 s
