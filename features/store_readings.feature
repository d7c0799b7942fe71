Feature: Decisions are kept under every interpretation of the store's specification
  Where the specification can be read in two ways, the store may be built either way. A
  decision whose effects were released has to be kept by both.

  Scenario Outline: An empty append that <what>
    Given a writer that appended nothing under number 2, on a store with the reading "<reading>"
    When it appends a record under number 2
    Then the store answered that it ends at <answer>, and holds <count> records

    Examples:
      | what             | reading  | answer | count |
      | takes no number  | plain    | 1      | 1     |
      | takes its number | numbered | 0      | 0     |

  Scenario: Pages of the newest records may show old or new values
    Given a store with the reading "mixed-pages" and 40 keys
    When every key changes after the first page was read
    Then the first page is old, and later pages show old and new values

  Scenario Outline: A late append is carried out only if its condition still holds: <before>
    Given a store on which an append under number 2 got no answer and is carried out later
    When <before>, and then the late append is due
    Then the store holds <count> records of it

    Examples:
      | before                     | count |
      | nothing happens            | 1     |
      | the same append is retried | 1     |
      | a newer epoch begins       | 0     |

  Scenario: A repeat older than the last five is out of sequence
    Given a writer that appended records under the numbers 2 to 9
    When it repeats the numbers 5 and 4
    Then 5 gets its first answer again, and 4 is answered with the expected number, 10

  Scenario: A decision is written after an empty append confirmed the epoch
    Given a journal on a store where an empty append takes its number
    When it only confirms its epoch for a while, and then a decision is written and released
    Then the store holds the released decision

  Scenario: A job is accepted after a second without news, and a successor takes over
    Given a model world whose store gives empty appends numbers
    When a job is accepted after a second without news, and another process takes over
    Then the successor knows the job
