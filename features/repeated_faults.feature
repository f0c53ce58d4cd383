Feature: Repeated faults
  Guards against a first recovery that leaves state behind and breaks the second.

  Scenario Outline: <fault>, twice @ <step>
    Given a running fleet with traffic, probes and an active document
    When fault "<fault>" is injected twice at step "<step>"
    Then P1 holds: probe traffic stays within its budget
    And P2 holds: every caller gets the complete response to its own request or an error
    And P3 holds: no backend server ran a request that was reported as not run
    And P4 holds: a request that is not idempotent runs at most once on all backend servers
    And P5 holds: a draining backend server starts no request after 3 s
    And P6 holds: a drain interrupts no running request
    And P7 holds: every daemon adopts an accepted document within 9 s and none reverts it

    Examples:
      | fault                | step           |
      | slow backend         | after dispatch |
      | slow backend         | during rollout |
      | draining backend     | after dispatch |
      | draining backend     | during rollout |
      | fast errors          | after dispatch |
      | fast errors          | during rollout |
      | high-priority flood  | after dispatch |
      | high-priority flood  | during rollout |
      | store down           | after dispatch |
      | store down           | during rollout |
      | store slow           | after dispatch |
      | store slow           | during rollout |
      | write response lost  | after dispatch |
      | write response lost  | during rollout |
      | concurrent operators | after dispatch |
      | concurrent operators | during rollout |
      | connection silent    | after dispatch |
      | connection silent    | during rollout |
      | connection closed    | after dispatch |
      | connection closed    | during rollout |
      | owner killed         | after dispatch |
      | owner killed         | during rollout |
      | daemon paused        | during rollout |
      | low-priority flood   | after dispatch |
