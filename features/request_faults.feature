Feature: Every fault at every step of a request
  Guards against wrong outcomes, requests that run twice and incomplete responses.

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
      | fault                | step            |
      | slow backend         | before dispatch |
      | slow backend         | after dispatch  |
      | slow backend         | during response |
      | slow backend         | response lost   |
      | draining backend     | before dispatch |
      | draining backend     | after dispatch  |
      | draining backend     | during response |
      | draining backend     | response lost   |
      | fast errors          | before dispatch |
      | fast errors          | after dispatch  |
      | fast errors          | during response |
      | fast errors          | response lost   |
      | low-priority flood   | before dispatch |
      | low-priority flood   | after dispatch  |
      | low-priority flood   | during response |
      | low-priority flood   | response lost   |
      | high-priority flood  | before dispatch |
      | high-priority flood  | after dispatch  |
      | high-priority flood  | during response |
      | high-priority flood  | response lost   |
      | store down           | before dispatch |
      | store down           | after dispatch  |
      | store down           | during response |
      | store down           | response lost   |
      | store slow           | before dispatch |
      | store slow           | after dispatch  |
      | store slow           | during response |
      | store slow           | response lost   |
      | write response lost  | before dispatch |
      | write response lost  | after dispatch  |
      | write response lost  | during response |
      | write response lost  | response lost   |
      | daemon paused        | before dispatch |
      | daemon paused        | after dispatch  |
      | daemon paused        | during response |
      | daemon paused        | response lost   |
      | concurrent operators | before dispatch |
      | concurrent operators | after dispatch  |
      | concurrent operators | during response |
      | concurrent operators | response lost   |
      | connection silent    | before dispatch |
      | connection silent    | after dispatch  |
      | connection silent    | during response |
      | connection silent    | response lost   |
      | connection closed    | before dispatch |
      | connection closed    | after dispatch  |
      | connection closed    | during response |
      | connection closed    | response lost   |
      | owner killed         | before dispatch |
      | owner killed         | after dispatch  |
      | owner killed         | during response |
      | owner killed         | response lost   |
      | closed, data late    | before dispatch |
      | closed, data late    | after dispatch  |
      | closed, data late    | during response |
      | closed, data late    | response lost   |
      | stale peer           | after dispatch  |
