"""Steps that compare the actors' methods with those of pykka."""

from importlib import import_module
from inspect import isclass
from pkgutil import walk_packages

from behave import then, when
from behave.runner import Context
from pykka import ThreadingActor

from geraniumwell import __path__ as package_path

HOOKS = {
    "__doc__",
    "__init__",
    "__module__",
    "_create_actor_inbox",
    "on_failure",
    "on_receive",
    "on_start",
    "on_stop",
    "use_daemon_thread",
}
# Python sets these on each subclass of an abstract class.
ABSTRACT_CLASS_NAMES = {"__abstractmethods__", "_abc_impl"}


@when("the classes of all actors are inspected")
def step_classes(context: Context) -> None:
    context.actors = []
    for item in walk_packages(package_path, "geraniumwell."):
        if item.name.endswith("__main__"):
            continue
        module = import_module(item.name)
        context.actors += [
            value
            for value in vars(module).values()
            if isclass(value)
            and issubclass(value, ThreadingActor)
            and value.__module__ == item.name
        ]
    assert context.actors


@then("none of them defines a name of pykka that is not a hook")
def step_names(context: Context) -> None:
    library = {name for base in ThreadingActor.__mro__ for name in vars(base)}
    reserved = library - HOOKS - ABSTRACT_CLASS_NAMES
    found = {
        f"{actor.__name__}.{name}"
        for actor in context.actors
        for name in reserved.intersection(vars(actor))
    }
    assert not found, found
