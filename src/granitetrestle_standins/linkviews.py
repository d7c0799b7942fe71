"""Translation of addresses in the traffic that the proxy forwards. A place must reach
each other place through a port of its own, so that the proxy can tell links apart. The
program takes addresses from the store and from messages of its peers, so the proxy
replaces each address there by the one that the receiver must use.

Translated are the answers of the store (entries of processes and boxes) and the
messages between processes: ``NodeStatus`` (``address``, ``leader_address``, the
addresses of ``members``) and ``CallForwarded`` (``reply_to``). No link of the program bypasses the
proxy, since a process only learns of translated addresses. Only the tests connect
directly, to test hooks and to the ports for readiness and metrics."""

import abc
import base64
import binascii
import functools
import json
import struct
import typing as t

import msgspec

__all__ = ["Passthrough", "PeerFrames", "Rewriter", "StoreAnswers", "Translate"]

Translate: t.TypeAlias = t.Callable[[str], str]

# Prefix of all addresses; data without it is forwarded without decoding it.
ADDRESS_PREFIX: t.Final = b"127."
# ZMTP 3: size of the greeting, flags of a frame, largest body of a short frame.
GREETING_BYTES: t.Final = 64
FLAG_LONG: t.Final = 2
FLAG_COMMAND: t.Final = 4
MAX_SHORT_FRAME_BYTES: t.Final = 255
# Size of the header before the records in the answer to a read of the store.
READ_HEADER_BYTES: t.Final = 16


class Rewriter(abc.ABC):
    """Translates the addresses in a stream of bytes, message by message.

    :param translate: returns the receiver's form of an address, and other text
        unchanged.
    """

    def __init__(self, translate: Translate) -> None:
        self._translate = translate
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Add bytes to the buffer and return the complete messages, translated."""
        self._buffer += data
        complete = b""
        while (message := self._next_message()) is not None:
            complete += message
        return complete

    def flush(self) -> bytes:
        """Return and clear the buffer, for the end of the stream."""
        remaining, self._buffer = self._buffer, b""
        return remaining

    @abc.abstractmethod
    def _next_message(self) -> bytes | None:
        """Remove and translate the first message in the buffer.

        :returns: ``None`` if it isn't complete.
        """


class Passthrough(Rewriter):
    """Forwards all bytes unchanged."""

    def _next_message(self) -> bytes | None:
        return self.flush() or None


class PeerFrames(Rewriter):
    """Translates the messages between processes: ZMTP frames, of which the second one
    of each message holds an envelope."""

    def __init__(self, translate: Translate) -> None:
        super().__init__(translate)
        self._greeting_left = GREETING_BYTES

    def _next_message(self) -> bytes | None:
        if self._greeting_left and self._buffer:
            # Forwarded in parts: a side may wait for the start of the other's greeting
            # before it sends the rest of its own.
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
        translate = functools.partial(_translate_strings, translate=self._translate)
        return _encode_frame(flags, _translate_msgpack(frame[head:], translate))

    def _consume(self, length: int) -> bytes:
        consumed, self._buffer = self._buffer[:length], self._buffer[length:]
        return consumed


def _encode_frame(flags: int, body: bytes) -> bytes:
    if len(body) <= MAX_SHORT_FRAME_BYTES:
        return bytes((flags & ~FLAG_LONG, len(body))) + body
    return bytes((flags | FLAG_LONG,)) + len(body).to_bytes(8, "big") + body


class StoreAnswers(Rewriter):
    """Translates the HTTP answers of the store: pages of the newest records (JSON with
    values in base64) and records read from an offset (binary)."""

    def _next_message(self) -> bytes | None:
        head, end, rest = self._buffer.partition(b"\r\n\r\n")
        if not end:
            return None
        length = _content_length(head)
        if length is None or len(rest) < length:
            # Answers that hold addresses always have a Content-Length.
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
    """Translate a record's value: the platform's JSON or the entry of a process, a flat
    row in MessagePack. Other records of the program are covered by a digest, so they
    must arrive as they were written."""
    if ADDRESS_PREFIX not in value:
        return value
    if value[:1] != b"{":
        return _translate_msgpack(value, functools.partial(_translate_row, translate))
    raw = json.loads(value)
    translated = _translate_strings(raw, translate)
    return value if translated == raw else json.dumps(translated).encode()


def _translate_msgpack(data: bytes, translate: t.Callable[[t.Any], t.Any]) -> bytes:
    try:
        raw = msgspec.msgpack.decode(data)
    except msgspec.DecodeError:
        return data
    translated = translate(raw)
    return data if translated == raw else msgspec.msgpack.encode(translated)


def _translate_row(translate: Translate, value: t.Any) -> t.Any:
    if not isinstance(value, list):
        return value
    return [translate(part) if isinstance(part, str) else part for part in value]


def _translate_strings(value: t.Any, translate: Translate) -> t.Any:
    if isinstance(value, str):
        return translate(value)
    if isinstance(value, list):
        return [_translate_strings(part, translate) for part in value]
    if isinstance(value, dict):
        return {key: _translate_strings(part, translate) for key, part in value.items()}
    return value
