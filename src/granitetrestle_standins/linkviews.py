"""Which address each place has for another one, and how it learns of it. A place must
reach each other one through a port of its own, so that its links can be told apart; the
program takes addresses from the store and from messages of its peers, so both are
translated on their way, each into what its reader is to use.

Translated are the answers of the store (a process's entry, a box's entry) and whatever
the processes send each other: ``NodeStatus`` (``address``, ``leader_address``, the
addresses of ``members``) and ``CallForwarded`` (``reply_to``). No link passes the proxy by:
an address that a process has not been told it can't connect to. The exceptions are made
by the tests, not by the program: test hooks and the ports that show readiness and figures
are called directly."""

import abc
import base64
import binascii
import json
import struct
import typing as t

import msgspec

__all__ = ["Passthrough", "PeerFrames", "Rewriter", "StoreAnswers", "Translate"]

Translate: t.TypeAlias = t.Callable[[str], str]

# All addresses begin so; what holds none of them is passed on without decoding it.
ADDRESS_PREFIX: t.Final = b"127."
# ZMTP 3: bytes of the greeting, and the flags of a frame.
GREETING_BYTES: t.Final = 64
FLAG_LONG: t.Final = 2
FLAG_COMMAND: t.Final = 4
MAX_SHORT_FRAME_BYTES: t.Final = 255
# Bytes before the records in the answer to a read of the store.
READ_HEADER_BYTES: t.Final = 16


class Rewriter(abc.ABC):
    """Translates a stream of bytes, message by message.

    :param translate: turns an address into the reader's; leaves other text alone.
    """

    def __init__(self, translate: Translate) -> None:
        self._translate = translate
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Take bytes; return those that are complete, translated."""
        self._buffer += data
        complete = b""
        while (message := self._next_message()) is not None:
            complete += message
        return complete

    def flush(self) -> bytes:
        """Return what is left when the stream ends."""
        remaining, self._buffer = self._buffer, b""
        return remaining

    @abc.abstractmethod
    def _next_message(self) -> bytes | None:
        """Take the first whole message from what is held, if there is one."""


class Passthrough(Rewriter):
    """Translates nothing."""

    def _next_message(self) -> bytes | None:
        return self.flush() or None


class PeerFrames(Rewriter):
    """Translates what a process sends to another: frames of ZMTP, of which the second
    of each message holds an envelope."""

    def __init__(self, translate: Translate) -> None:
        super().__init__(translate)
        self._greeting_left = GREETING_BYTES

    def _next_message(self) -> bytes | None:
        if self._greeting_left and self._buffer:
            # Either side sends the rest of its greeting once it has seen the other's start.
            start = self._consume(self._greeting_left)
            self._greeting_left -= len(start)
            return start
        if len(self._buffer) < 2:
            return None
        flags = self._buffer[0]
        head = 9 if flags & FLAG_LONG else 2
        if len(self._buffer) < head:
            return None
        size = int.from_bytes(self._buffer[1:head], "big")
        if len(self._buffer) < head + size:
            return None
        frame = self._consume(head + size)
        if flags & FLAG_COMMAND or ADDRESS_PREFIX not in frame:
            return frame
        return _encode_frame(flags, _translate_msgpack(frame[head:], self._translate))

    def _consume(self, length: int) -> bytes:
        taken, self._buffer = self._buffer[:length], self._buffer[length:]
        return taken


def _encode_frame(flags: int, body: bytes) -> bytes:
    if len(body) <= MAX_SHORT_FRAME_BYTES:
        return bytes((flags & ~FLAG_LONG, len(body))) + body
    return bytes((flags | FLAG_LONG,)) + len(body).to_bytes(8, "big") + body


class StoreAnswers(Rewriter):
    """Translates the store's answers over HTTP: pages of the newest records, which are
    JSON with values in base64, and records from an offset on, which are binary."""

    def _next_message(self) -> bytes | None:
        head, end, rest = self._buffer.partition(b"\r\n\r\n")
        if not end:
            return None
        length = _content_length(head)
        if length is None or len(rest) < length:
            # Without a length the answer is none of those that hold addresses.
            return None if length is not None else self.flush()
        body, self._buffer = rest[:length], rest[length:]
        translated = self._translate_body(body)
        return _set_content_length(head, len(translated)) + end + translated

    def _translate_body(self, body: bytes) -> bytes:
        try:
            if body[:1] == b"{":
                return self._translate_page(body)
            return body[:READ_HEADER_BYTES] + self._translate_records(
                body[READ_HEADER_BYTES:]
            )
        except (ValueError, KeyError, TypeError, struct.error, binascii.Error):
            return body

    def _translate_page(self, body: bytes) -> bytes:
        page = json.loads(body)
        for item in page.get("items", ()):
            value = _translate_value(base64.b64decode(item["value"]), self._translate)
            item["value"] = base64.b64encode(value).decode()
        return json.dumps(page).encode()

    def _translate_records(self, data: bytes) -> bytes:
        out = b""
        position = 0
        while position < len(data):
            length, key_size = struct.unpack_from(">IB", data, position)
            start = position + 5
            position += 4 + length
            key = data[start : start + key_size]
            value = _translate_value(data[start + key_size : position], self._translate)
            size = 1 + len(key) + len(value)
            out += struct.pack(">IB", size, key_size) + key + value
        return out


def _content_length(head: bytes) -> int | None:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return None


def _set_content_length(head: bytes, length: int) -> bytes:
    lines = [
        b"content-length: %d" % length
        if line.lower().startswith(b"content-length:")
        else line
        for line in head.split(b"\r\n")
    ]
    return b"\r\n".join(lines)


def _translate_value(value: bytes, translate: Translate) -> bytes:
    """Translate a record's value: JSON of the platform, or packed by the program."""
    if ADDRESS_PREFIX not in value:
        return value
    if value[:1] != b"{":
        return _translate_msgpack(value, translate)
    raw = json.loads(value)
    translated = _translate_strings(raw, translate)
    return value if translated == raw else json.dumps(translated).encode()


def _translate_msgpack(data: bytes, translate: Translate) -> bytes:
    try:
        raw = msgspec.msgpack.decode(data)
    except msgspec.DecodeError:
        return data
    translated = _translate_strings(raw, translate)
    return data if translated == raw else msgspec.msgpack.encode(translated)


def _translate_strings(value: t.Any, translate: Translate) -> t.Any:
    if isinstance(value, str):
        return translate(value)
    if isinstance(value, list):
        return [_translate_strings(part, translate) for part in value]
    if isinstance(value, dict):
        return {key: _translate_strings(part, translate) for key, part in value.items()}
    return value
