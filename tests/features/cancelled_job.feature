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
