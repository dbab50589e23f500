Feature: Limits follow from the memory and the descriptors of a VM

  # Guards against budgets that exceed the VM, or that serve no ordinary request.
  Scenario Outline: The budget fits into the memory
    Given a VM of <memory> MB with <descriptors> descriptors
    Then the clients' budget is at least 1 MiB and at most <budget> MiB
    And at least 16 and at most <connections> connections are allowed
    And the budgets of all servers add up to at most a quarter of the memory over 64 MB, or 2 MiB
    And connections without a request take at most half of their budget

    Examples:
      | memory | descriptors | budget | connections |
      | 160    | 4100        | 24     | 1000        |
      | 160    | 400         | 24     | 100         |
      | 96     | 4100        | 8      | 512         |
      | 64     | 4100        | 2      | 128         |
      | 1      | 1           | 2      | 16          |
      | 4096   | 20000       | 1008   | 1000        |
