Feature: Every fault at every step of a request
  Guards against untruthful outcomes, double runs and cut answers.

  Scenario Outline: <fault> @ <step>
    Given a fleet with traffic, a document in force and probes
    When "<fault>" strikes "<step>"
    Then P1 holds: measuring traffic stays within its budget
    And P2 holds: every caller gets the whole answer to its own request or an error
    And P3 holds: a request reported as not run is in no backend ledger
    And P4 holds: a request that is not idempotent is at most once in all ledgers
    And P5 holds: a draining backend server starts no new work after 3 s
    And P6 holds: a drain cuts no request
    And P7 holds: an accepted document is adopted within 9 s and never reverts

    Examples:
      | fault                 | step             |
      | slow backend          | before dispatch  |
      | slow backend          | after dispatch   |
      | slow backend          | answer under way |
      | slow backend          | answer lost      |
      | draining backend      | before dispatch  |
      | draining backend      | after dispatch   |
      | draining backend      | answer under way |
      | draining backend      | answer lost      |
      | fail fast             | before dispatch  |
      | fail fast             | after dispatch   |
      | fail fast             | answer under way |
      | fail fast             | answer lost      |
      | flood of least urgent | before dispatch  |
      | flood of least urgent | after dispatch   |
      | flood of least urgent | answer under way |
      | flood of least urgent | answer lost      |
      | flood of most urgent  | before dispatch  |
      | flood of most urgent  | after dispatch   |
      | flood of most urgent  | answer under way |
      | flood of most urgent  | answer lost      |
      | store down            | before dispatch  |
      | store down            | after dispatch   |
      | store down            | answer under way |
      | store down            | answer lost      |
      | store slow            | before dispatch  |
      | store slow            | after dispatch   |
      | store slow            | answer under way |
      | store slow            | answer lost      |
      | write answer lost     | before dispatch  |
      | write answer lost     | after dispatch   |
      | write answer lost     | answer under way |
      | write answer lost     | answer lost      |
      | daemon paused         | before dispatch  |
      | daemon paused         | after dispatch   |
      | daemon paused         | answer under way |
      | daemon paused         | answer lost      |
      | operators racing      | before dispatch  |
      | operators racing      | after dispatch   |
      | operators racing      | answer under way |
      | operators racing      | answer lost      |
      | connection silent     | before dispatch  |
      | connection silent     | after dispatch   |
      | connection silent     | answer under way |
      | connection silent     | answer lost      |
      | connection cut        | before dispatch  |
      | connection cut        | after dispatch   |
      | connection cut        | answer under way |
      | connection cut        | answer lost      |
      | owner killed          | before dispatch  |
      | owner killed          | after dispatch   |
      | owner killed          | answer under way |
      | owner killed          | answer lost      |
      | cut, data late        | before dispatch  |
      | cut, data late        | after dispatch   |
      | cut, data late        | answer under way |
      | cut, data late        | answer lost      |
      | stale peer            | after dispatch   |
