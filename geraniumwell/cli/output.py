"""Text output of the command line."""

from geraniumwell.language.ast import Statement
from geraniumwell.language.printer import print_statement
from geraniumwell.model.reply import StatementsReply
from geraniumwell.model.table import Cell, Table

PROGRESS_WIDTH = 72


def format_reply(reply: StatementsReply) -> str:
    """Return the tables of a reply, with a blank line between them."""
    return "\n\n".join(format_table(item.table) for item in reply.results)


def format_table(table: Table) -> str:
    """Return a table with aligned columns, followed by its lines of text."""
    header = [name.replace("_", " ").upper() for name in table.columns]
    rows = [
        [format_cell(row.get(name)) for name in table.columns] for row in table.rows
    ]
    widths = [max(map(len, column)) for column in zip(header, *rows, strict=True)]
    lines = [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in (header, *rows)
    ]
    if table.columns and not rows:
        lines.append("(none)")
    return "\n".join([*(line for line in lines if line), *table.lines])


def format_cell(cell: Cell) -> str:
    """Return the text of one cell."""
    match cell:
        case None:
            return "-"
        case bool():
            return "yes" if cell else "no"
        case float():
            return f"{cell:g}"
        case _:
            return str(cell)


def format_statement(statement: Statement) -> str:
    """Return the text of a statement, truncated for a progress line."""
    text = print_statement(statement)
    is_long = len(text) > PROGRESS_WIDTH
    return text[: PROGRESS_WIDTH - 3] + "..." if is_long else text
