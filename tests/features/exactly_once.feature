Feature: An accepted item completes exactly once, and its result stays readable afterwards

  Scenario Outline: A fault strikes while a job runs, and lasts
    Given a healthy <scenario> fleet
    And an accepted job of 600 items
    And some of its items have run
    When <fault>
    Then the fault has struck before all items had run
    And the job completes
    And the fault passes
    And every item has exactly one right result through every gateway

    Examples:
      | scenario | fault                             |
      | kilimo   | a gateway is killed               |
      | kilimo   | a gateway is frozen               |
      | kilimo   | a gateway is cut off              |
      | kilimo   | a runner is killed                |
      | kilimo   | a runner is frozen                |
      | kilimo   | the leader of the job is killed   |
      | kilimo   | the leader of the job is frozen   |
      | kilimo   | a control process loses its disk  |
      | hanbit   | a zone is cut off                 |

  Scenario: A second disk is lost right after a repair is reported done
    Given a healthy kilimo fleet
    And an accepted job of 100 items
    And the job completes
    When control-1 loses its disk
    And its repair is reported done
    And control-2 loses its disk
    And its repair is reported done
    Then every item has exactly one right result through every gateway

  Scenario Outline: A job is sent again
    Given a healthy kilimo fleet
    And an accepted job of 100 items
    When <fault>
    And the same job is sent again through another gateway
    And the fault passes
    Then both sends gave the same job
    And the job completes
    And every item has exactly one right result through every gateway

    Examples:
      | fault                           |
      | nothing goes wrong              |
      | the leader of the job is killed |

  Scenario: An item kills each engine that runs it
    Given a healthy kilimo fleet
    And an accepted job of 12 items of 300 tokens
    When each engine that runs the first item is killed until the job has ended
    Then the job completes
    And the first item has failed after 5 lost engines, and every other one has its right result
