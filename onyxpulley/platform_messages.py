"""Messages of the platform's protocol: RESP arrays of bulk strings, parsed and encoded."""

from __future__ import annotations

from onyxpulley import fields
from onyxpulley.core import Answer, Request, Verdict

MAX_BODY_BYTES = 48_000
# A larger body up to this size is discarded and answered under its tag; beyond it the connection ends.
MAX_DISCARDED_BODY_BYTES = 1_048_576
MAX_ARRAY_ELEMENTS = 8
MAX_ELEMENT_BYTES = 4_096  # of any element but the body
MAX_TAG_DIGITS = 19
REPLY_STATUS = {
    Verdict.SERVED: b"good",
    Verdict.REFUSED: b"refused",
    Verdict.FAILED: b"broken",
    Verdict.EXPIRED: b"broken",
}
HEX_DIGITS = frozenset("0123456789abcdef")


class MalformedMessage(Exception):
    """The input breaks the protocol, so that nothing after it can be parsed."""


class BodyTooLarge(Exception):
    """The body of a message is over the limit; the elements before it were parsed.

    `body_start` is the offset of the body in the buffer, `body_size` its announced size in bytes.
    """

    def __init__(self, elements: list[bytes], body_start: int, body_size: int) -> None:
        self.elements = elements
        self.body_start = body_start
        self.body_size = body_size


def parse_length(data: bytearray, start: int, end: int, marker: int, maximum: int) -> tuple[int, int] | None:
    """Parses the length line at `start`, which begins with `marker` and gives a number up to `maximum`.

    Returns the number and the offset behind the line, or None while the line is incomplete. Raises
    MalformedMessage.
    """
    if start >= end:
        return None
    if data[start] != marker:
        raise MalformedMessage(f"expected {chr(marker)!r}, got {chr(data[start])!r}")
    line_end = data.find(b"\r\n", start + 1, min(end, start + 16))
    if line_end < 0:
        if end - start >= 16:
            raise MalformedMessage("length line too long")
        return None
    try:
        return fields.parse_number(data[start + 1 : line_end].decode("ascii"), 0, maximum), line_end + 2
    except ValueError as error:
        raise MalformedMessage(str(error)) from error


def parse_array(data: bytearray, start: int, end: int) -> tuple[list[bytes], int] | None:
    """Parses one array and returns its elements and the offset behind it, or None while it is incomplete.

    Raises MalformedMessage, or BodyTooLarge for a body that is too large but may be discarded.
    """
    head = parse_length(data, start, end, 0x2A, MAX_ARRAY_ELEMENTS)
    if head is None:
        return None
    count, offset = head
    elements: list[bytes] = []
    for index in range(count):
        element_head = parse_length(data, offset, end, 0x24, 2**40)
        if element_head is None:
            return None
        size, offset = element_head
        if size > (MAX_BODY_BYTES if index >= 4 else MAX_ELEMENT_BYTES):
            if index >= 4 and size <= MAX_DISCARDED_BODY_BYTES:
                raise BodyTooLarge(elements, offset, size)
            raise MalformedMessage(f"element of {size} bytes is too long")
        if end < offset + size + 2:
            return None
        if data[offset + size] != 13 or data[offset + size + 1] != 10:
            raise MalformedMessage("element does not end with CRLF")
        elements.append(bytes(memoryview(data)[offset : offset + size]))
        offset += size + 2
    return elements, offset


def parse_number_of(elements: list[bytes]) -> int:
    """The number under which a message is answered: its second element, the tag. Raises MalformedMessage."""
    tag = elements[1] if len(elements) > 1 else b""
    if not (tag.isdigit() and len(tag) <= MAX_TAG_DIGITS and int(tag) > 0):
        raise MalformedMessage(f"not a valid tag: {tag[:40]!r}")
    return int(tag)


def encode_reply(tag: bytes, status: bytes, field_list: str = "", body: bytes = b"") -> bytes:
    """One answer as a RESP array: tag, status, fields and body."""
    text = field_list.encode()
    return b"*4\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n" % (
        len(tag), tag, len(status), status, len(text), text, len(body), body,
    )  # fmt: skip


def parse_request(elements: list[bytes], classes: frozenset[str], arrived: int) -> Request:
    """Makes the core's request from an ASK message that arrived at `arrived` (monotonic microseconds).

    Raises ValueError for anything that must not be sent to a server. The caller sets `reply`.
    """
    if not 4 <= len(elements) <= 5:
        raise ValueError(f"ASK with {len(elements)} elements, not 4 or 5")
    cls = elements[2].decode("ascii")
    if cls not in classes:
        raise ValueError(f"unknown class {cls[:40]!r}")
    values = fields.parse(elements[3].decode("ascii"))
    for name in ("txn", "item"):
        if len(values.get(name, "")) != 16 or not HEX_DIGITS.issuperset(values[name]):
            raise ValueError(f"{name} is not 16 hex digits")
    have = values.get("have", "")
    if len(have) > 64 or not have.isalnum() and have:
        raise ValueError("have is not an alphanumeric tag of at most 64 characters")
    size = float(values.get("ram", "0"))
    if not 0 <= size < 1e9:
        raise ValueError(f"ram is out of bounds: {size}")
    return Request(
        txn=values["txn"],
        cls=cls,
        object_id=values["item"],
        deadline=arrived + 1000 * fields.parse_number(values.get("limit", ""), 1, 3_600_000),
        reply=reply_not_set,
        part=fields.parse_number(values.get("part", "0"), 0, 2**31),
        group=fields.parse_number(values["group"], 0, 255) if "group" in values else None,
        size_kb=size,
        body=elements[4] if len(elements) > 4 else b"",
        client_tag=have,
        is_repeat=values.get("second", "") == "1",
    )


def reply_not_set(answer: Answer) -> None:
    """Stands for `reply` until the connection of the request sets it."""
    raise AssertionError("a request was answered before its reply callback was set")
