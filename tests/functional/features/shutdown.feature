Feature: A graceful shutdown cuts no request in progress

  Scenario: A host is asked to stop while long requests run
    Given a streamed, a whole and a delivered request of 27 s at host-1
    And a draft of 27 s that host-1 works on
    When host-1 is asked to stop after 1 s
    And a caller with an old lookup asks host-1 meanwhile
    Then that caller is answered in full
    And all requests of host-1 end whole
    And host-1 then exits with code 0
    And the draft was handed back and is answered once
