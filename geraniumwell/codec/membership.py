"""Encoding of membership as rows of the platform's table."""

from geraniumwell.codec.json import decode_json, encode_json
from geraniumwell.model.membership import Assignment, MemberRow


def make_prefix(data_centre: str) -> str:
    """Return the prefix of all membership rows of a data centre."""
    return f"dc/{data_centre}/"


def make_assignment_key(data_centre: str) -> str:
    """Return the key of a data centre's assignment."""
    return f"{make_prefix(data_centre)}assignment"


def make_member_key(data_centre: str, vm: str) -> str:
    """Return the key of a member's row."""
    return f"{make_prefix(data_centre)}member/{vm}"


def encode_value(value: Assignment | MemberRow) -> str:
    """Return the text of a row's value."""
    return encode_json(value).decode()


def decode_assignment(text: str) -> Assignment:
    """Return the assignment in the value of a row."""
    return decode_json(text, Assignment)


def decode_member(text: str) -> MemberRow:
    """Return the member row in the value of a row."""
    return decode_json(text, MemberRow)
