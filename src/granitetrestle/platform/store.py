"""Client of the platform's store: appends fenced by epoch, pages of the newest record
of each key, and reads from an offset."""

import base64
import collections
import json
import struct
import typing as t
import urllib.parse

import msgspec

from ..calls import Caller
from ..calls import CallFailure
from ..calls import Reply
from ..errors import DECODE_ERRORS
from ..errors import UnstorableRecord
from ..fieldtypes import Integer
from ..interfaces import MAX_KEY_BYTES
from ..interfaces import Appended
from ..interfaces import AppendRefused
from ..interfaces import Fenced
from ..interfaces import NewestPage
from ..interfaces import NumberTaken
from ..interfaces import Record
from ..interfaces import Records
from ..interfaces import RecordsGone
from ..interfaces import Store
from ..interfaces import StoreUnavailable
from ..interfaces import Writer

__all__ = [
    "CONFIG_TOPIC",
    "BOX_TOPIC",
    "PlatformStore",
    "decode_records",
    "encode_record",
]

# Topics that the platform writes: operators' records, and the boxes' entries.
CONFIG_TOPIC: t.Final = "keyed.op"
BOX_TOPIC: t.Final = "keyed.servers"
PRODUCER: t.Final = "granitetrestle"
# An answer takes about 5 ms, and up to half a second if the store is slow.
READ_TIMEOUT_S: t.Final = 1.0
MAX_ANSWER_BYTES: t.Final = 4 * 1024 * 1024
OK: t.Final = 200
# Statuses with which an append is refused for its content, and so for good.
REFUSED: t.Final = frozenset({400, 413})
CONFLICT: t.Final = 409
GONE: t.Final = 410
# How bytes of a key that are not Unicode text are kept until the next page is asked for.
KEY_ERRORS: t.Final = "surrogateescape"


class _Item(msgspec.Struct):
    """A record of a page. Its value is decoded from base64 while the page is parsed, so
    that the encoded text is never held in memory."""

    key: str
    value: bytes = b""


class _Page(msgspec.Struct):
    end: Integer
    items: list[_Item] = []
    more: bool = False


class _AppendAnswer(msgspec.Struct):
    """``call_seq`` is the sequence number that the store expects next."""

    end: Integer = 0
    reason: str = ""
    call_seq: Integer = 0


_pages = msgspec.json.Decoder(_Page)
_append_answers = msgspec.json.Decoder(_AppendAnswer)


class PlatformStore(Store):
    """Calls the store over HTTP; uses partition 0 of each topic."""

    def __init__(self, address: str, caller: Caller) -> None:
        self._address = address
        self._caller = caller
        # Number of appends in flight, by topic and writer.
        self._in_flight: collections.Counter[tuple[str, Writer]] = collections.Counter()
        self.calls = 0

    async def append(
        self,
        topic: str,
        records: t.Sequence[Record],
        writer: Writer | None,
        timeout_s: float,
    ) -> Appended | Fenced | NumberTaken | AppendRefused | StoreUnavailable:
        """See :meth:`.interfaces.Store.append`."""
        query = {"topic": topic, "part": "0"}
        if writer is not None:
            query["producer"] = PRODUCER
            query["epoch"] = str(writer.epoch)
            query["call_seq"] = str(writer.sequence)
        try:
            body = b"".join(map(encode_record, records))
        except UnstorableRecord as error:
            return AppendRefused(error.message)
        reply = await self._append(topic, writer, query, timeout_s, body)
        if isinstance(reply, StoreUnavailable):
            return reply
        reason = f"{reply.status} {reply.body[:80]!r}"
        if reply.status in REFUSED:
            return AppendRefused(reason)
        try:
            answer = _append_answers.decode(reply.body or b"{}")
        except DECODE_ERRORS:
            return StoreUnavailable("malformed answer")
        if reply.status == OK:
            return Appended(answer.end)
        if reply.status == CONFLICT and answer.reason == "fenced":
            return Fenced()
        if reply.status == CONFLICT and answer.reason == "seq":
            return NumberTaken(answer.call_seq)
        return StoreUnavailable(reason, not_applied=True)

    async def _append(
        self,
        topic: str,
        writer: Writer | None,
        query: t.Mapping[str, str],
        timeout_s: float,
        body: bytes,
    ) -> Reply | StoreUnavailable:
        """Send an append. One that repeats an append in flight uses a new connection,
        since the connection of the other may be dead."""
        path = "/api/log-append"
        if writer is None:
            return await self._call("POST", path, query, timeout_s, body)
        key = (topic, writer)
        repeats = self._in_flight[key] > 0
        self._in_flight[key] += 1
        try:
            return await self._call("POST", path, query, timeout_s, body, repeats)
        finally:
            self._in_flight[key] -= 1
            if not self._in_flight[key]:
                del self._in_flight[key]

    async def newest_page(
        self, topic: str, after: str | None, timeout_s: float
    ) -> NewestPage | StoreUnavailable:
        """See :meth:`.interfaces.Store.newest_page`."""
        query = {"topic": topic, "part": "0"}
        if after is not None:
            # The platform's name for the key after which a page starts.
            query["depends_on"] = after
        reply = await self._call("GET", "/api/log-newest", query, timeout_s)
        if isinstance(reply, StoreUnavailable):
            return reply
        if reply.status != OK:
            return StoreUnavailable(str(reply.status), not_applied=True)
        try:
            page = _pages.decode(reply.body)
        except DECODE_ERRORS:
            return _decode_odd_page(reply.body)
        records = tuple(Record(item.key, item.value) for item in page.items)
        return NewestPage(records, page.end, page.more)

    async def read(
        self, topic: str, start: int, wait_s: float
    ) -> Records | RecordsGone | StoreUnavailable:
        """See :meth:`.interfaces.Store.read`."""
        query = {"topic": topic, "part": "0", "from": str(start)}
        if wait_s:
            query["wait_ms"] = str(int(wait_s * 1000))
        timeout_s = READ_TIMEOUT_S + wait_s
        reply = await self._call("GET", "/api/log-read", query, timeout_s)
        if isinstance(reply, StoreUnavailable):
            return reply
        if reply.status == GONE:
            return RecordsGone()
        if reply.status != OK:
            return StoreUnavailable(str(reply.status), not_applied=True)
        try:
            records = decode_records(reply.body[16:])
        except (struct.error, IndexError):
            return StoreUnavailable("malformed answer")
        return Records(tuple(records), start + len(records))

    async def _call(
        self,
        method: str,
        path: str,
        query: t.Mapping[str, str],
        timeout_s: float,
        body: bytes = b"",
        new: bool = False,
    ) -> Reply | StoreUnavailable:
        self.calls += 1
        target = f"{path}?{urllib.parse.urlencode(query, errors=KEY_ERRORS)}"
        headers = ((b"content-type", b"application/octet-stream"),)
        reply = await self._caller.call(
            self._address,
            target,
            headers,
            body,
            timeout_s,
            method=method,
            limit=MAX_ANSWER_BYTES,
            new=new,
            by_progress=True,
        )
        if isinstance(reply, CallFailure):
            proof = reply.proof
            return StoreUnavailable(proof.detail, not_applied=not proof.may_have_run)
        return reply


def _decode_odd_page(body: bytes) -> NewestPage | StoreUnavailable:
    """Return a page of which an item can't be decoded like the others. Another writer's
    key may be no Unicode text; if it made the page unreadable, nobody could lead."""
    try:
        page = json.loads(body.decode(errors=KEY_ERRORS))
        end, more, items = page["end"], page.get("more", False), page.get("items", [])
        keys = [item["key"] for item in items]
        sound = type(end) is int and type(more) is bool
        if not sound or not all(isinstance(key, str) for key in keys):
            return StoreUnavailable("malformed answer")
        records = tuple(
            Record(_text(key), _odd_value(item))
            for key, item in zip(keys, items, strict=True)
        )
        # A key that can't be sent can't be continued at.
        last_key = keys[-1] if keys else None
        if last_key is not None:
            last_key.encode(errors=KEY_ERRORS)
    except (*DECODE_ERRORS, AttributeError, KeyError, TypeError):
        return StoreUnavailable("malformed answer")
    return NewestPage(records, end, more, last_key)


def _text(key: str) -> str:
    """Return a key as :func:`decode_records` does."""
    try:
        return key.encode(errors=KEY_ERRORS).decode(errors="replace")
    except UnicodeEncodeError:
        return key.encode(errors="replace").decode()


def _odd_value(item: t.Mapping[str, t.Any]) -> bytes:
    """Return the value of an item, or one that no decoder accepts."""
    value = item.get("value", "")
    try:
        return base64.b64decode(value, validate=True)
    except (TypeError, ValueError):
        return b""


def encode_record(record: Record) -> bytes:
    """Return a keyed record in the store's binary format: length, key length, key,
    value.

    :raises UnstorableRecord: if its key is too long.
    """
    key = record.key.encode()
    if len(key) > MAX_KEY_BYTES:
        raise UnstorableRecord(f"a key of {len(key)} bytes: {record.key[:80]}...")
    value = record.value or b""
    return struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key + value


def decode_records(data: bytes) -> list[Record]:
    """Return the keyed records in ``data``, in the format of :func:`encode_record`.

    :raises struct.error: if it is cut short.
    """
    records: list[Record] = []
    position = 0
    while position < len(data):
        (length,) = struct.unpack_from(">I", data, position)
        position += 4
        if position + length > len(data):
            raise struct.error("cut short")
        end = position + length
        # Without a whole key it is about no key of ours, but counts as a record.
        key_end = min(end, position + 1 + data[position]) if length else end
        # Other writers may use keys that are not UTF-8; such a record must not make the
        # rest unreadable.
        key = data[position + 1 : key_end].decode(errors="replace")
        value = data[key_end:end]
        records.append(Record(key, value or None))
        position = end
    return records
