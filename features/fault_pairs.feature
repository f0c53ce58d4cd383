Feature: Pairs of faults that share state
  Guards against a recovery that relies on a part that another fault has broken.

  Scenario Outline: <first> + <second> @ <step>
    Given a running fleet with traffic, probes and an active document
    When fault "<first>" and then "<second>" are injected at step "<step>"
    Then P1 holds: probe traffic stays within its budget
    And P2 holds: every caller gets the complete response to its own request or an error
    And P3 holds: no backend server ran a request that was reported as not run
    And P4 holds: a request that is not idempotent runs at most once on all backend servers
    And P5 holds: a draining backend server starts no request after 3 s
    And P6 holds: a drain interrupts no running request
    And P7 holds: every daemon adopts an accepted document within 9 s and none reverts it

    Examples:
      | first                | second               | step            |
      | connection silent    | owner killed         | after dispatch  |
      | connection silent    | owner killed         | during response |
      | connection silent    | owner killed         | response lost   |
      | connection silent    | owner killed         | during rollout  |
      | draining backend     | connection closed    | before dispatch |
      | draining backend     | connection closed    | after dispatch  |
      | draining backend     | connection closed    | during response |
      | draining backend     | connection closed    | during rollout  |
      | draining backend     | owner killed         | after dispatch  |
      | draining backend     | owner killed         | during response |
      | store down           | daemon paused        | after dispatch  |
      | store down           | daemon paused        | before commit   |
      | store down           | daemon paused        | during commit   |
      | store down           | daemon paused        | after commit    |
      | store down           | daemon paused        | during rollout  |
      | write response lost  | concurrent operators | before commit   |
      | write response lost  | concurrent operators | during commit   |
      | write response lost  | concurrent operators | after commit    |
      | concurrent operators | write response lost  | before commit   |
      | store down           | owner killed         | after dispatch  |
      | store down           | owner killed         | after commit    |
      | store down           | owner killed         | during rollout  |
      | daemon paused        | draining backend     | after dispatch  |
      | daemon paused        | draining backend     | during rollout  |
      | slow backend         | connection silent    | after dispatch  |
      | slow backend         | connection silent    | during response |
      | slow backend         | connection silent    | response lost   |
      | fast errors          | high-priority flood  | before dispatch |
      | high-priority flood  | draining backend     | after dispatch  |
      | store slow           | write response lost  | during commit   |
      | store down           | connection silent    | after commit    |
      | store down           | connection silent    | during rollout  |
