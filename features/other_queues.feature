Feature: A job is known under the prefix of its own queue alone
  Scenario Outline: <method> under <path> at <host>, <config>
    Given a running job of the queue "/mine" at "host"
    When its state is asked for by <method> under "<path>" at "<host>", <config>
    Then the answer is <status>, and the job is <state>

    Examples:
      | method | path     | host       | config                                  | status | state     |
      | GET    | /mine/   | host       | with both queues                        | 200    | queued    |
      | GET    | /mine/   | HOST:80    | with both queues                        | 200    | queued    |
      | GET    | /other/  | host       | with both queues                        | 410    | queued    |
      | GET    | /mine/   | elsewhere  | with both queues                        | 410    | queued    |
      | DELETE | /mine/   | host       | with both queues                        | 200    | cancelled |
      | DELETE | /other/  | host       | with both queues                        | 410    | queued    |
      | GET    | /mine/   | host       | with a queue of a longer prefix         | 200    | queued    |
      | DELETE | /mine/   | host       | with a queue of a longer prefix         | 200    | cancelled |
      | GET    | /mine/   | host       | with another queue in place of it       | 200    | queued    |
      | DELETE | /mine/   | host       | with another queue in place of it       | 200    | cancelled |
