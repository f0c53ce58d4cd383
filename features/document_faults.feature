Feature: Every fault at every step of a document change
  Guards against accepted documents that are reverted or do not reach every daemon.

  Scenario Outline: <fault> @ <step>
    Given a running fleet with traffic, probes and an active document
    When fault "<fault>" is injected at step "<step>"
    Then P1 holds: probe traffic stays within its budget
    And P2 holds: every caller gets the complete response to its own request or an error
    And P3 holds: no backend server ran a request that was reported as not run
    And P4 holds: a request that is not idempotent runs at most once on all backend servers
    And P5 holds: a draining backend server starts no request after 3 s
    And P6 holds: a drain interrupts no running request
    And P7 holds: every daemon adopts an accepted document within 9 s and none reverts it

    Examples:
      | fault                | step           |
      | slow backend         | before commit  |
      | slow backend         | during commit  |
      | slow backend         | after commit   |
      | slow backend         | during rollout |
      | draining backend     | before commit  |
      | draining backend     | during commit  |
      | draining backend     | after commit   |
      | draining backend     | during rollout |
      | fast errors          | before commit  |
      | fast errors          | during commit  |
      | fast errors          | after commit   |
      | fast errors          | during rollout |
      | low-priority flood   | before commit  |
      | low-priority flood   | during commit  |
      | low-priority flood   | after commit   |
      | low-priority flood   | during rollout |
      | high-priority flood  | before commit  |
      | high-priority flood  | during commit  |
      | high-priority flood  | after commit   |
      | high-priority flood  | during rollout |
      | store down           | before commit  |
      | store down           | during commit  |
      | store down           | after commit   |
      | store down           | during rollout |
      | store slow           | before commit  |
      | store slow           | during commit  |
      | store slow           | after commit   |
      | store slow           | during rollout |
      | write response lost  | before commit  |
      | write response lost  | during commit  |
      | write response lost  | after commit   |
      | write response lost  | during rollout |
      | daemon paused        | before commit  |
      | daemon paused        | during commit  |
      | daemon paused        | after commit   |
      | daemon paused        | during rollout |
      | concurrent operators | before commit  |
      | concurrent operators | during commit  |
      | concurrent operators | after commit   |
      | concurrent operators | during rollout |
      | connection silent    | before commit  |
      | connection silent    | during commit  |
      | connection silent    | after commit   |
      | connection silent    | during rollout |
      | connection closed    | before commit  |
      | connection closed    | during commit  |
      | connection closed    | after commit   |
      | connection closed    | during rollout |
      | owner killed         | before commit  |
      | owner killed         | during commit  |
      | owner killed         | after commit   |
      | owner killed         | during rollout |
      | closed, data late    | before commit  |
      | closed, data late    | during commit  |
      | closed, data late    | after commit   |
      | closed, data late    | during rollout |
      | stale peer           | before commit  |
      | stale peer           | during commit  |
