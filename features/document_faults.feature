Feature: Every fault at every step of a change of the document
  Guards against accepted documents that revert or stay behind.

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
      | fault                 | step          |
      | slow backend          | before commit |
      | slow backend          | during commit |
      | slow backend          | after commit  |
      | slow backend          | during spread |
      | draining backend      | before commit |
      | draining backend      | during commit |
      | draining backend      | after commit  |
      | draining backend      | during spread |
      | fail fast             | before commit |
      | fail fast             | during commit |
      | fail fast             | after commit  |
      | fail fast             | during spread |
      | flood of least urgent | before commit |
      | flood of least urgent | during commit |
      | flood of least urgent | after commit  |
      | flood of least urgent | during spread |
      | flood of most urgent  | before commit |
      | flood of most urgent  | during commit |
      | flood of most urgent  | after commit  |
      | flood of most urgent  | during spread |
      | store down            | before commit |
      | store down            | during commit |
      | store down            | after commit  |
      | store down            | during spread |
      | store slow            | before commit |
      | store slow            | during commit |
      | store slow            | after commit  |
      | store slow            | during spread |
      | write answer lost     | before commit |
      | write answer lost     | during commit |
      | write answer lost     | after commit  |
      | write answer lost     | during spread |
      | daemon paused         | before commit |
      | daemon paused         | during commit |
      | daemon paused         | after commit  |
      | daemon paused         | during spread |
      | operators racing      | before commit |
      | operators racing      | during commit |
      | operators racing      | after commit  |
      | operators racing      | during spread |
      | connection silent     | before commit |
      | connection silent     | during commit |
      | connection silent     | after commit  |
      | connection silent     | during spread |
      | connection cut        | before commit |
      | connection cut        | during commit |
      | connection cut        | after commit  |
      | connection cut        | during spread |
      | owner killed          | before commit |
      | owner killed          | during commit |
      | owner killed          | after commit  |
      | owner killed          | during spread |
      | cut, data late        | before commit |
      | cut, data late        | during commit |
      | cut, data late        | after commit  |
      | cut, data late        | during spread |
      | stale peer            | before commit |
      | stale peer            | during commit |
