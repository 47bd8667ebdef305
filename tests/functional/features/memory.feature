Feature: Engines release the resources of a request whose caller or host is gone
  Engines release everything that they hold for a request within 5 s.

  Scenario Outline: A caller is gone at a stage
    Given a request in <stage>
    When <event>
    Then engines hold no resources for it after 5 s

    Examples:
      | stage       | event                                      |
      | prefill     | its caller leaves                          |
      | transfer    | its caller leaves                          |
      | long decode | its caller leaves                          |
      | long decode | its caller leaves and cancels are lost     |
      | prefill     | its host is killed                         |
      | transfer    | its host is killed                         |
      | long decode | its host is frozen                         |
      | long decode | its host is replaced at once               |
      | long decode | its host and its home are killed           |
      | long decode | its host and the admission home are killed |

  Scenario: A caller disconnects while its request is being registered
    Given a request whose home is frozen
    When its caller leaves
    And the home resumes
    Then no engine runs it

  Scenario: A caller disconnects while its request is queued
    Given a request that waits for a slot
    When its caller leaves
    And the callers of the other requests disconnect
    Then no engine runs it
