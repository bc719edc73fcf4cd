Feature: A rollout of a model's version disturbs nobody

  Scenario Outline: A fault strikes in the middle of a rollout
    Given a healthy kilimo fleet
    And placement is at rest
    And online traffic
    And online traffic of the model's adapter
    And an accepted job of 1000 items
    When an operator changes the model's version
    And a runner has begun to load it
    And <fault>
    And another order has been carried out
    And the fault passes
    Then every runner has the newest version and placement is at rest
    And 20 more answers have come
    And placement has given no more orders
    And no online request was cut
    And no request of the adapter was cut
    And no online request was refused
    And the job completes
    And every item has exactly one right result through every gateway
    And each engine took its orders by rising fences, and none twice
    And no runner loaded a version twice, or an older one after a newer
    And no request met a runner that was loading
    And never were two runners loading the model at once

    Examples:
      | fault                                         |
      | nothing goes wrong                            |
      | the leader of the root group is killed        |
      | the leader of the root group is frozen        |
      | a runner is killed while it loads             |
      | a control process is cut off                  |
      | an operator changes the model's version again |
