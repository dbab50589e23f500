Feature: The limits in the settings of serve are checked

  # Guards against a daemon that starts with limits under which it serves no request.
  Scenario Outline: Limits that allow no request are refused
    When settings with the limit "<key>" of <value> are read
    Then the limits are refused for "<path>"

    Examples:
      | key             | value     | path                     |
      | memory_mb       | 0         | $.limits.memory_mb       |
      | descriptors     | -1        | $.limits.descriptors     |
      | request_seconds | 0         | $.limits.request_seconds |
      | body_bytes      | 100000000 | $.limits.memory_mb       |

  Scenario: A small VM can serve the largest body of the defaults
    When settings with the limit "memory_mb" of 96 are read
    Then the limits are accepted
