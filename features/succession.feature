Feature: A successor goes on from all that its predecessor had confirmed
  On machines of their own, processes changed their decider once, and 234 times in one run a
  task was started that was done, and whose box or client had been told so. Among real
  processes on one machine the same was seen 159 times in 50 seconds when the store counted
  the number of an empty append, with which a decider without news confirms that it still
  decides: the next append took that number too, was answered as a repeat of the empty one,
  and kept nothing ("sequence":3,"records":2,"before":2,"end":2). It was seen 552 times in 30
  seconds when the store showed its records as of 3 seconds ago. In each case a new decider
  believed that it had read all there was, found a box that neither ran nor listed what it had
  read of ("not_there":8), and started that again. Which of the two acted on the machines of
  the incident, or whether a third did, is not proved.

  Scenario Outline: No task that is done is started again, with a store that <answers>
    Given a store that <answers>, and 3 boxes
    When a decider does jobs of 8 tasks with pauses between, is killed, and another takes over
    Then each task ran once, and the successor knows each job as completed

    Examples:
      | answers                                                    |
      | counts only appends with records                           |
      | counts the numbers of empty appends                        |
      | shows records as they were 2 seconds ago, for 3 readings   |
      | leaves out the last half of the records, for 3 readings    |

  Scenario Outline: A process that returns under its name does not decide in its old epoch
    Given a store that counts only appends with records, and 3 boxes
    When a process raises an epoch, does <jobs> jobs of 8 tasks, is killed, and raises it again in a new life
    Then the new life sees that the epoch is used, and decides nothing in it

    Examples:
      | jobs |
      | 0    |
      | 1    |
      | 4    |
