Feature: Actors do not override internal methods of pykka

  Guards against an actor that overrides a method which pykka calls to stop it. A worker
  link that did so could not be stopped, and each takeover leaked a thread and a
  connection per worker.

  Scenario: Actors define only their own methods and pykka's hooks
    When the classes of all actors are inspected
    Then none of them defines a name of pykka that is not a hook
