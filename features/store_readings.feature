Feature: Decisions last under every reading of the page on the store
  Where the page can be read two ways, the store may be built either way. A decision whose
  effects were let go has to be kept by both.

  Scenario Outline: An empty append that <what>
    Given a writer that appended nothing under number 2, on a store with the reading "<reading>"
    When it appends a record under number 2
    Then the store answered that it ends at <answer>, and holds <count> records

    Examples:
      | what             | reading  | answer | count |
      | takes no number  | plain    | 1      | 1     |
      | takes its number | numbered | 0      | 0     |

  Scenario: Pages of the newest records show keys old or new
    Given a store with the reading "mixed-pages" and 40 keys
    When every key changes after the first page was read
    Then the first page is old, and later pages show old and new values

  Scenario Outline: A late append is done only if its condition still holds: <before>
    Given a store on which an append under number 2 got no answer, to be done later
    When <before>, and then the time of the late append comes
    Then the store holds <count> records of it

    Examples:
      | before                     | count |
      | nothing happens            | 1     |
      | the same append is retried | 1     |
      | a newer epoch begins       | 0     |

  Scenario: A repeat older than the last five is out of sequence
    Given a writer that appended records under the numbers 2 to 9
    When it repeats the numbers 5 and 4
    Then 5 is answered as it was first, and 4 is answered with the number wanted, 10

  Scenario: A decision is written after an empty append proved the epoch
    Given a journal on a store where an empty append takes its number
    When it confirms itself for a while, and then a decision is written and let go
    Then the store holds the decision that was let go

  Scenario: A job is accepted after a calm second, and a successor takes over
    Given a model world whose store gives empty appends numbers
    When a job is accepted after a calm second, and another process takes over
    Then the successor knows the job
