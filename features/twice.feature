Feature: The same fault twice
  Guards against state that a first recovery leaves behind.

  Scenario Outline: <fault>, twice @ <step>
    Given a fleet with traffic, a document in force and probes
    When "<fault>" strikes "<step>" twice
    Then P1 holds: measuring traffic stays within its budget
    And P2 holds: every caller gets the whole answer to its own request or an error
    And P3 holds: a request reported as not run is in no backend ledger
    And P4 holds: a request that is not idempotent is at most once in all ledgers
    And P5 holds: a draining backend server starts no new work after 3 s
    And P6 holds: a drain cuts no request
    And P7 holds: an accepted document is adopted within 9 s and never reverts

    Examples:
      | fault                 | step           |
      | slow backend          | after dispatch |
      | slow backend          | during spread  |
      | draining backend      | after dispatch |
      | draining backend      | during spread  |
      | fail fast             | after dispatch |
      | fail fast             | during spread  |
      | flood of most urgent  | after dispatch |
      | flood of most urgent  | during spread  |
      | store down            | after dispatch |
      | store down            | during spread  |
      | store slow            | after dispatch |
      | store slow            | during spread  |
      | write answer lost     | after dispatch |
      | write answer lost     | during spread  |
      | operators racing      | after dispatch |
      | operators racing      | during spread  |
      | connection silent     | after dispatch |
      | connection silent     | during spread  |
      | connection cut        | after dispatch |
      | connection cut        | during spread  |
      | owner killed          | after dispatch |
      | owner killed          | during spread  |
      | daemon paused         | during spread  |
      | flood of least urgent | after dispatch |
