Feature: Online requests never wait behind batch work

  Scenario Outline: Online requests come while the fleet is full of batch work
    Given a healthy <scenario> fleet
    And an accepted job of 3000 items
    And some of its items have run
    When <fault>
    And 30 online requests are sent to the batch job's own runners
    Then every online request is answered whole
    And every online request had a higher priority at its runner than every item
    And at least half of the job was still unfinished then
    And the fault passes

    Examples:
      | scenario | fault                               |
      | kilimo   | nothing goes wrong                  |
      | hanbit   | nothing goes wrong                  |
      | kilimo   | a runner is killed                  |
      | kilimo   | every control process is frozen     |
