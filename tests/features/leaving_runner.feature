Feature: A leaving back end gets no new work after a few seconds

  Scenario Outline: A runner leaves while it is under load
    Given a healthy <scenario> fleet
    And an accepted job of 3000 items
    And online traffic
    And every runner of the online service has worked
    When <event>
    And <limit> s have passed
    And 40 more answers have come
    Then the runner <work> since
    And no online request was cut
    And the fault passes

    Examples: The third row shows that the others can fail
      | scenario | event                                          | limit | work                |
      | kilimo   | the machine list says that a runner is leaving | 3     | has got no new work |
      | kilimo   | an operator drains a runner                    | 2     | has got no new work |
      | kilimo   | nobody marks a runner                          | 2     | has got new work    |
      | hanbit   | the machine list says that a runner is leaving | 3     | has got no new work |

  Scenario Outline: All processes stand still while a runner leaves
    Given a healthy <scenario> fleet
    And an accepted job of 3000 items
    And online traffic
    And every runner of the online service has worked
    When <event>
    And <limit> s are allowed from then on
    And all processes stand still 0.5 s later, for <pause> s
    And 40 more answers have come
    Then the runner has got no new work since
    And no online request was cut
    And the fault passes

    Examples: What they knew before is older than the promise's seconds
      | scenario | event                                          | limit | pause |
      | hanbit   | the machine list says that a runner is leaving | 3     | 5     |
      | hanbit   | an operator drains a runner                    | 2     | 5     |
      | kilimo   | the machine list says that a runner is leaving | 3     | 2.7   |
