"""Tables in which the results of operators' statements are returned."""

from dataclasses import dataclass

Cell = str | int | float | bool | None


@dataclass(slots=True, frozen=True)
class Table:
    """Rows by column name, and lines of text that follow them."""

    columns: tuple[str, ...] = ()
    rows: tuple[dict[str, Cell], ...] = ()
    lines: tuple[str, ...] = ()


def make_table(columns: str, rows: list[tuple[Cell, ...]], *lines: str) -> Table:
    """Build a table from rows of cells.

    Parameters
    ----------
    columns : str
        Names of the columns, separated by spaces.
    rows : list of tuple
        Cells in the order of the columns.
    *lines : str
        Lines of text that follow the rows.
    """
    names = tuple(columns.split())
    dicts = tuple(dict(zip(names, row, strict=True)) for row in rows)
    return Table(names, dicts, lines)
