Feature: A cancelled job stops

  Scenario Outline: A job is cancelled while it runs
    Given a healthy <scenario> fleet
    And an accepted job of 4000 items
    And some of its items have run
    When the job is cancelled
    And <fault>
    And <limit> s have passed, in which <reason>
    Then no item of the job starts any more
    And the fault passes
    And the job stays cancelled with items that never ran

    Examples:
      | scenario | fault                           | limit | reason                                  |
      | kilimo   | nothing goes wrong              | 2     | every gateway hears it by its exchange  |
      | kilimo   | the leader of the job is killed | 4     | gateways find another hub               |
      | kilimo   | a gateway is cut off            | 12    | its leases end without a renewal        |
      | hanbit   | a gateway is frozen             | 2     | every other gateway hears it            |

  Scenario Outline: A job is cancelled whose items run for a gateway that was lost
    Given a healthy <scenario> fleet
    And an accepted job of 600 items of 2000 tokens
    And some of its items have run
    When <fault>
    And the job is cancelled
    And <limit> s have passed, in which <reason>
    Then no engine runs an item of the job
    And the fault passes
    And the job stays cancelled with items that never ran

    Examples:
      | scenario | fault                | limit | reason                                            |
      | kilimo   | a gateway is killed  | 12    | its runners' next owner cancels what it left      |
      | kilimo   | a gateway is frozen  | 12    | its runners' next owner cancels what it left      |
      | kilimo   | a gateway is cut off | 12    | its runners' next owner cancels what it left      |
