"""Steps for the addresses that the proxy translates."""

import base64
import json
import struct

import msgspec
from behave import given
from behave import then
from behave import when

from granitetrestle.messages import CallForwarded
from granitetrestle.messages import Envelope
from granitetrestle.messages import Member
from granitetrestle.messages import NodeStatus
from granitetrestle.messages import decode_envelope
from granitetrestle.messages import encode_envelope
from granitetrestle_standins.linkviews import PeerFrames
from granitetrestle_standins.linkviews import StoreAnswers

VIEWS = {"127.20.1.1:20003": "127.20.1.252:7", "127.20.1.252:123": "127.0.0.1:40000"}


def translate(text):
    return VIEWS.get(text, text)


def frame(flags, body):
    if len(body) > 255:
        return bytes((flags | 2,)) + struct.pack(">Q", len(body)) + body
    return bytes((flags, len(body))) + body


@given("a message of a process that names itself, the leader and a relay")
def messages(context):
    own, other = VIEWS
    status = NodeStatus(
        node="n1",
        address=own,
        hall="h",
        epoch=2**40,
        leader="n2",
        store_ok=True,
        ready=True,
        cores=1.5,
        leader_address=other,
        members=(Member("n2", other, "h"), Member("n3", "10.0.0.1:5", "h")) * 9,
    )
    body = b"\x00\xff127.20.1.1:20003"
    call = CallForwarded(7, "POST", "host", "/q/1", body, 1.25, own)
    context.sent = [Envelope("n1", "n1-a", m, "trace") for m in (status, call)]


def pieces(data, size):
    return [data[start : start + size] for start in range(0, len(data), size)]


@when("it is sent to another process in pieces of 1, 7, 100 and 5000 bytes")
def sent_in_pieces(context):
    greeting = b"\xff" + bytes(8) + b"\x7f\x03" + bytes(53)
    ready = frame(4, b"\x05READY127.20.1.1:20003")
    context.received = []
    for size in (1, 7, 100, 5000):
        frames = PeerFrames(translate)
        stream = greeting + ready
        for envelope in context.sent:
            stream += frame(1, b"token") + frame(0, encode_envelope(envelope))
        out = b"".join(frames.feed(piece) for piece in pieces(stream, size))
        assert out.startswith(greeting + ready), out[:100]
        assert not frames.flush()
        context.received.append(parse(out[len(greeting + ready) :]))


def parse(data):
    bodies = []
    while data:
        long = data[0] & 2
        head = 9 if long else 2
        size = int.from_bytes(data[1:head], "big")
        bodies.append((data[0] & 1, data[head : head + size]))
        data = data[head + size :]
    assert [flag for flag, _ in bodies] == [1, 0] * (len(bodies) // 2), bodies
    assert all(body == b"token" for flag, body in bodies if flag), bodies
    return [decode_envelope(body) for flag, body in bodies if not flag]


@then("each address arrives translated for the receiver, and all else unchanged")
def translated(context):
    status, call = (envelope.message for envelope in context.sent)
    members = tuple(
        msgspec.structs.replace(member, address=translate(member.address))
        for member in status.members
    )
    wanted = [
        msgspec.structs.replace(
            status,
            address=translate(status.address),
            leader_address=translate(status.leader_address),
            members=members,
        ),
        msgspec.structs.replace(call, reply_to=translate(call.reply_to)),
    ]
    for received in context.received:
        assert [envelope.message for envelope in received] == wanted, received


@then("the same holds for the store's pages and records")
def store_translated(context):
    own = next(iter(VIEWS))
    node = msgspec.msgpack.encode([own, "h", 1.0])
    box = json.dumps({"service": "pool", "address": own}).encode()
    other = b"\x00\x01 not packed 127.20.1.1:20003"
    nested = msgspec.msgpack.encode([1, [["b1", own]]])
    values = [node, box, other, nested]
    rows = [{"key": "k", "value": base64.b64encode(v).decode()} for v in values]
    page = json.dumps({"items": rows, "more": True, "end": 3}).encode()
    records = b"".join(struct.pack(">IB", 3 + len(v), 2) + b"kk" + v for v in values)
    read = struct.pack(">QQ", 3, 0) + records
    head = "HTTP/1.1 200 OK\r\nx: y\r\nContent-Length: %d\r\n\r\n"
    stream = b"".join((head % len(b)).encode() + b for b in (page, read, b'{"end":1}'))
    for size in (1, 13, 5000):
        answers = StoreAnswers(translate)
        out = b"".join(answers.feed(piece) for piece in pieces(stream, size))
        got_page, got_read, got_append = bodies_of(out)
        items = json.loads(got_page)["items"]
        got = [base64.b64decode(item["value"]) for item in items]
        check_values(got, other, nested)
        assert got_read[:16] == read[:16]
        check_values(list(values_of(got_read[16:])), other, nested)
        assert json.loads(got_append) == {"end": 1}


def check_values(values, other, nested):
    node, box, third, fourth = values
    assert msgspec.msgpack.decode(node) == ["127.20.1.252:7", "h", 1.0], node
    assert json.loads(box)["address"] == "127.20.1.252:7", box
    assert third == other, third
    # Only the digest of what was written proves that such a record is complete.
    assert fourth == nested, fourth


def bodies_of(stream):
    while stream:
        head, _, rest = stream.partition(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2])
        yield rest[:length]
        stream = rest[length:]


def values_of(data):
    while data:
        length, key_size = struct.unpack_from(">IB", data)
        yield data[5 + key_size : 4 + length]
        data = data[4 + length :]
