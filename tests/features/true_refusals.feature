Feature: A refusal that says "not run" is true

  Scenario Outline: A request is refused
    Given a healthy kilimo fleet
    When <cause>
    And a request is sent that <defect>
    Then it is refused with status <status> and execution not_run
    And no runner has run it
    And the fault passes

    Examples:
      | cause                     | defect                 | status |
      | nothing goes wrong        | has an unknown key     | 401    |
      | nothing goes wrong        | names an unknown model | 404    |
      | nothing goes wrong        | is not JSON            | 400    |
      | every runner refuses      | is in order            | 503    |
      | every runner is leaving   | is in order            | 503    |

  Scenario Outline: A runner has the request when it fails
    Given a healthy kilimo fleet
    When the next answers of every runner are <fault>
    And 6 requests are sent that may not be repeated
    Then no refusal of a request that has run says not_run
    And the fault has struck

    Examples:
      | fault   |
      | broken  |
      | crossed |
