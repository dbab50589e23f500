"""Import all step modules, which lie beside their feature files."""

from importlib import import_module
from pathlib import Path
from re import sub

from behave.step_registry import registry

TESTS_ROOT = Path(__file__).resolve().parent.parent


def load_step_modules() -> None:
    """Import each ``*_steps.py`` below the tests folder once."""
    for path in sorted(TESTS_ROOT.rglob("*_steps.py")):
        if path.parent == TESTS_ROOT / "steps":
            continue
        parts = path.relative_to(TESTS_ROOT.parent).with_suffix("").parts
        import_module(".".join(parts))


def check_step_texts() -> None:
    """Raise an error if two steps match the same text; behave would use the first."""
    for kind, steps in registry.steps.items():
        locations: dict[str, str] = {}
        for step in steps:
            text = sub(r"\{.*?\}", "{}", step.pattern)
            if text in locations:
                raise ValueError(f"{kind} {text!r}: {locations[text]}, {step.location}")
            locations[text] = str(step.location)


load_step_modules()
check_step_texts()
