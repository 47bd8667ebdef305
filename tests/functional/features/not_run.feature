Feature: "Not run" is never said of a request that any engine ran

  Scenario: Decoding is refused after the prefill ran
    Given decode engines refuse all calls
    When a caller sends a streamed request
    Then it is told that the request may have run

  Scenario: A retry finds no room after an attempt that ran
    Given decode engines refuse all calls
    And a request that failed after its prefill
    And all slots are taken
    When its caller asks another host again
    Then it is told that the request may have run

  Scenario: An attempt that ran is taken over while no room is left
    Given a request in decode
    And all slots are taken
    When its host is frozen
    And its decode runner is killed
    And its caller asks another host again
    Then it is told that the request may have run

  Scenario: A host that was frozen before it dispatched wakes after the deadline
    Given a request that waits for a slot at a host which then is frozen
    When the other requests leave
    And its host wakes after the first token was due
    Then no engine ever runs it

  Scenario: Hosts and engines fail under load
    Given 60 requests from callers of whom some leave or ask twice
    When hosts and engines are killed and frozen meanwhile
    Then no request said to be not run was run
    And every whole answer is right and no request has two
    And engines hold nothing for any of them after 5 s
