Feature: Actors do not override internal methods of pykka

  A worker link once defined a method that pykka calls to stop an actor. The link could
  not be stopped, so each takeover leaked a thread and a connection per worker.

  Scenario: Actors define only their own methods and pykka's hooks
    When the classes of all actors are inspected
    Then none of them defines a name of pykka that is not a hook
