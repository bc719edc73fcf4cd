Feature: A request that may not be repeated runs at most once

  Scenario Outline: A request with a key is sent through every gateway
    Given a healthy kilimo fleet
    When <fault>
    And a request that may not be repeated is sent through every gateway <manner>
    Then it has run at most once
    And all whole answers to it are the same
    And the fault passes

    Examples:
      | fault                                        | manner          |
      | nothing goes wrong                           | at once         |
      | nothing goes wrong                           | one by one      |
      | the next answers of every runner are broken  | one by one      |
      | the next answers of every runner are crossed | one by one      |
      | the next answers of every runner are late    | at once         |
      | the leader of the root group is killed       | one by one      |
      | a gateway is killed                          | one by one      |

  Scenario Outline: The gateway fails that has begun the request
    Given a healthy kilimo fleet
    When a request that may not be repeated runs through gateway-1
    And <fault>
    And it is sent again through the other gateways
    And the fault passes
    And it is sent again through every gateway
    Then it has run at most once
    And no resend says that it has not run

    Examples:
      | fault                |
      | a gateway is killed  |
      | a gateway is frozen  |
      | a gateway is cut off |

  Scenario Outline: A batch job that may not be repeated
    Given a healthy kilimo fleet
    And an accepted job of 300 items that may not be repeated
    When <fault>
    And the fault passes
    Then the job comes to its end
    And every item has run at most once

    Examples:
      | fault                           |
      | a runner is killed              |
      | a gateway is killed             |
      | the leader of the job is killed |
