"""Parser of the operators' language."""

from functools import cache
from importlib.resources import files
from re import fullmatch

from lark import Lark, Token, UnexpectedCharacters, UnexpectedInput, UnexpectedToken
from lark.exceptions import VisitError

from geraniumwell.exceptions import StatementSyntaxError
from geraniumwell.language.ast import Statement
from geraniumwell.language.builder import InvalidValueError, StatementBuilder

TERMINAL_TEXTS = {
    "$END": "the end",
    "ADDRESS": "an address ip:port",
    "COMMA": "','",
    "DURATION": "a time such as 200ms, 30s, 5m or 2h",
    "KIND": "organisations, classes, services, endpoints, workers, guarantees, stops "
    "or requests",
    "NAME": "a name",
    "NUMBER": "a number",
    "REMOVABLE": "organisation, class, service, worker, guarantee or stop",
    "SEMICOLON": "';'",
    "SPREAD": "same-worker, same-rack or same-data-centre",
    "STRING": "a text in double quotes",
    "TIME": "a time such as 2026-12-05T10:00:00Z",
    "WHERE": "--where",
}


@cache
def _make_parser() -> Lark:
    text = files("geraniumwell.language").joinpath("grammar.lark").read_text()
    return Lark(text, parser="lalr", propagate_positions=True, maybe_placeholders=True)


def parse_statements(text: str) -> tuple[Statement, ...]:
    """Parse statements, which are separated by semicolons.

    Raises
    ------
    StatementSyntaxError
        The text is invalid; the error holds line, column and what was expected there.
    """
    try:
        tree = _make_parser().parse(text)
        return StatementBuilder().transform(tree)
    except UnexpectedInput as exc:
        raise _translate(exc, text) from exc
    except VisitError as exc:
        if not isinstance(exc.orig_exc, InvalidValueError):
            raise
        token = exc.orig_exc.token
        raise StatementSyntaxError(
            token.line or 1, token.column or 1, str(token), (exc.orig_exc.expected,)
        ) from exc


def _translate(exc: UnexpectedInput, text: str) -> StatementSyntaxError:
    if isinstance(exc, UnexpectedToken):
        names = exc.accepts or exc.expected
        found = _describe(exc.token)
    elif isinstance(exc, UnexpectedCharacters):
        names = exc.allowed or set()
        words = text[exc.pos_in_stream :].split(maxsplit=1)
        found = repr(words[0]) if words else "the end"
    else:
        names, found = set(), "the end"
    if getattr(exc, "token", None) is not None and exc.token.type == "$END":
        line, column = _find_end(text)
    else:
        line, column = exc.line, exc.column
    return StatementSyntaxError(line, column, found, _describe_expected(set(names)))


def _find_end(text: str) -> tuple[int, int]:
    lines = text.split("\n")
    return len(lines), len(lines[-1]) + 1


def _describe(token: Token) -> str:
    return "the end" if token.type == "$END" else repr(str(token))


def _describe_expected(names: set[str]) -> tuple[str, ...]:
    if {"NAME", "STRING"} <= names:
        names = names - {"STRING"}
    return tuple(sorted(map(_describe_terminal, names))) or ("a statement",)


def _describe_terminal(name: str) -> str:
    return TERMINAL_TEXTS.get(name, name.lower())


def list_keywords() -> frozenset[str]:
    """Return the keywords of the grammar."""
    words: set[str] = set()
    for item in _make_parser().terminals:
        alternatives = item.pattern.value.replace("\\-", "-").strip("(?:)").split("|")
        words.update(word for word in alternatives if fullmatch("[a-z-]+", word))
    return frozenset(words)
