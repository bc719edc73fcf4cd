Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario Outline: A fault strikes around a change
    Given a healthy <scenario> fleet
    And a watch on every gateway's version
    When a settings change is accepted
    And <fault>
    Then the change is in force at every gateway that is not cut off
    And the fault passes
    And the change is in force at every gateway
    And no gateway's version has ever gone back

    Examples:
      | scenario | fault                                  |
      | kilimo   | nothing goes wrong                     |
      | kilimo   | the leader of the root group is killed |
      | kilimo   | the leader of the root group is frozen |
      | kilimo   | a control process loses its disk       |
      | kilimo   | a control process is cut off           |
      | hanbit   | a zone is cut off                      |

  Scenario Outline: The leader fails while changes are being applied
    Given a healthy kilimo fleet
    And a watch on every gateway's version
    When 20 changes are sent, each until it is answered, and at the 10th <fault>
    Then each change has been accepted exactly once, in its order
    And the change is in force at every gateway that is not cut off
    And the fault passes
    And no gateway's version has ever gone back

    Examples:
      | fault                                  |
      | the leader of the root group is killed |
      | the leader of the root group is frozen |

  Scenario: Operators race on one base version
    Given a healthy kilimo fleet
    When 4 operators send different changes on the same base version at once
    Then exactly one change is accepted
    And the others learn who won and what differs
    And the change is in force at every gateway

  Scenario: A change is sent again after its answer was lost
    Given a healthy kilimo fleet
    When a settings change is accepted
    And a later change to the same leaf is accepted
    And the first change is sent again to every control process
    Then every resend gets the first outcome
    And the change is in force at every gateway

  Scenario: Every process restarts after hundreds of changes
    Given a healthy kilimo fleet
    And a watch on every gateway's version
    When 200 settings changes are accepted
    And every control process and gateway is killed and started again
    Then the change is in force at every gateway
    And no gateway's version has ever gone back

  Scenario: A gateway restarts while its zone's control process has missed changes
    Given a healthy kilimo fleet
    And a watch on every gateway's version
    And control-3 is cut off
    When a settings change is accepted
    And gateway-3 is killed and started again
    Then the change is in force at every gateway
    And the fault passes
    And no gateway's version has ever gone back
