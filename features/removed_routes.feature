Feature: The jobs of a route that is removed are treated as before
  A route may be removed while jobs that it accepted still run, and may come back.

  Scenario Outline: A job may fail as often as its route allowed, <when>
    Given a job of a route with <most> attempts
    When the route is removed, <when>, and each run of its task fails
    Then the job fails with run <most>

    Examples:
      | most | when                               |
      | 2    | under the same leader              |
      | 5    | under the same leader              |
      | 2    | before another leader takes over   |
      | 5    | before another leader takes over   |

  Scenario: A job of a removed route still runs only where advice allows it
    Given a job of a route with advice
    When the route is removed under the same leader
    Then its task is started with a ticket alone

  Scenario: What was configured for a removed route is forgotten with its last job
    Given a job of a route with 5 attempts
    When the route is removed, and the job is cancelled, and a config follows
    Then nothing of the route is left

  Scenario: A job that an older version accepted may fail as often as by default
    Given a job that an older version accepted, of a route that is removed
    When a leader takes over, and each run of its task fails
    Then the job fails with run 3
