Feature: A planned stop cuts no request

  Scenario Outline: A process is stopped as planned under load
    Given a healthy <scenario> fleet
    And online traffic
    And an accepted job of 1000 items
    When <process> gets SIGTERM
    Then it exits with status 0
    And 20 more answers have come
    And no online request was cut
    And the fault passes
    And the job completes
    And every item has exactly one right result through every gateway

    Examples:
      | scenario | process   |
      | kilimo   | gateway-2 |
      | kilimo   | control-1 |
      | hanbit   | gateway-1 |

  Scenario Outline: A gateway is stopped while streams are open
    Given a healthy kilimo fleet
    And 8 long streams are open at gateway-3
    When gateway-3 gets <signal>
    Then <whole> of the long streams come whole
    And a new request to gateway-3 does not run
    And the fault passes

    Examples: The second row shows that the first can fail
      | signal  | whole |
      | SIGTERM | 8     |
      | SIGKILL | 0     |
