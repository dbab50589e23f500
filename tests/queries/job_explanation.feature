Feature: The explanation of a gang job gives the reasons for its state

  # Guards against an explanation that names the wrong blocking job or none.
  Scenario: The explanation names the job that holds the resources and its expected end
    Given 1 gang workers of 8 accelerators, 1 to a rack
    And these running gangs
      | job | organisation | shape        | interruption    | places | started |
      | a   | o            | 1x4 anywhere | uninterruptible | w0/0   | 950     |
    And these waiting gangs
      | job | organisation | shape        | interruption    |
      | b   | p            | 1x8 anywhere | uninterruptible |
    Then the reasons of "b" include "fits first on w0 in 50 s"
    And the reasons of "b" include "held by a of o, expected to run 50 s more"

  # Guards against an explanation that omits whose guaranteed capacity is in use.
  Scenario: The explanation names the guarantee whose capacity a job uses
    Given 1 gang workers of 8 accelerators, 1 to a rack
    And 1 guaranteed "1x8 one worker" for "g" as "gold"
    And these running gangs
      | job | organisation | shape        | interruption | places |
      | a   | o            | 1x4 anywhere | saves in 1 s | w0/0   |
    And these waiting gangs
      | job | organisation | shape        | kind  |
      | c   | g            | 1x8 anywhere | claim |
    Then the reasons of "a" include "capacity of gold of g"
    And the reasons of "c" include "a of o, expected to run 100 s more is stopped for it"
    And the reasons of "c" include "0 of 1 copies of gold of g are held by no job"

  # Guards against explaining a wait for a job that the next plan starts.
  Scenario: The explanation of a job that can start says so
    Given 1 gang workers of 8 accelerators, 1 to a rack
    And these waiting gangs
      | job | organisation | shape        |
      | b   | p            | 1x8 anywhere |
    Then the reasons of "b" include "can start now on w0"
