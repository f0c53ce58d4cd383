Feature: Pairs of faults that share state
  Guards against recovery from one fault that relies on the part that another broke.

  Scenario Outline: <first> + <second> @ <step>
    Given a fleet with traffic, a document in force and probes
    When "<first>" then "<second>" strike "<step>"
    Then P1 holds: measuring traffic stays within its budget
    And P2 holds: every caller gets the whole answer to its own request or an error
    And P3 holds: a request reported as not run is in no backend ledger
    And P4 holds: a request that is not idempotent is at most once in all ledgers
    And P5 holds: a draining backend server starts no new work after 3 s
    And P6 holds: a drain cuts no request
    And P7 holds: an accepted document is adopted within 9 s and never reverts

    Examples:
      | first                | second               | step             |
      | connection silent    | owner killed         | after dispatch   |
      | connection silent    | owner killed         | answer under way |
      | connection silent    | owner killed         | answer lost      |
      | connection silent    | owner killed         | during spread    |
      | draining backend     | connection cut       | before dispatch  |
      | draining backend     | connection cut       | after dispatch   |
      | draining backend     | connection cut       | answer under way |
      | draining backend     | connection cut       | during spread    |
      | draining backend     | owner killed         | after dispatch   |
      | draining backend     | owner killed         | answer under way |
      | store down           | daemon paused        | after dispatch   |
      | store down           | daemon paused        | before commit    |
      | store down           | daemon paused        | during commit    |
      | store down           | daemon paused        | after commit     |
      | store down           | daemon paused        | during spread    |
      | write answer lost    | operators racing     | before commit    |
      | write answer lost    | operators racing     | during commit    |
      | write answer lost    | operators racing     | after commit     |
      | operators racing     | write answer lost    | before commit    |
      | store down           | owner killed         | after dispatch   |
      | store down           | owner killed         | after commit     |
      | store down           | owner killed         | during spread    |
      | daemon paused        | draining backend     | after dispatch   |
      | daemon paused        | draining backend     | during spread    |
      | slow backend         | connection silent    | after dispatch   |
      | slow backend         | connection silent    | answer under way |
      | slow backend         | connection silent    | answer lost      |
      | fail fast            | flood of most urgent | before dispatch  |
      | flood of most urgent | draining backend     | after dispatch   |
      | store slow           | write answer lost    | during commit    |
      | store down           | connection silent    | after commit     |
      | store down           | connection silent    | during spread    |
