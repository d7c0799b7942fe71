"""Strategies for input by other writers: bytes, keys, and documents of which single
values are replaced by ones that no sound writer writes."""

import functools
import importlib
import json
import math
import pkgutil

import hypothesis.strategies as st
import msgspec

import granitetrestle

DEPTH = 3000
# Stands for a value that the encoders of Python refuse to write.
PLACEHOLDER = "\x07"
# JSON texts of values that no encoder writes.
RAW_JSON = (
    b"9" * 5000,
    b"-" + b"9" * 30,
    b"1e999",
    b"[" * DEPTH + b"]" * DEPTH,
    b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    b'"\\ud800"',
    b'"\xff"',
)
ODD_NUMBERS = st.sampled_from(
    [
        *(-3, -1, 0, 2**31, 2**53 + 1, 2**63 - 1, 2**63, 2**64 - 1, -(2**63)),
        *(1.5, 1e308, -1e308, math.nan, math.inf, -math.inf),
    ]
)
ODD_TEXTS = st.sampled_from(
    [
        "",
        "\x00",
        "a\r\nb: c",
        "1" * 5000,
        "127.0.0.1:" + "9" * 5000,
        "127.0.0.1:70000",
        "١٢٧.0.0.1:1",
        "x" * 300,
        ".".join("9" * 5000 for _ in range(4)),
    ]
)
ODD = st.one_of(
    ODD_NUMBERS,
    ODD_TEXTS,
    st.text(max_size=5),
    st.sampled_from([None, False, True, [], {}, [[1], {}]]),
)


def odd_instead_of(value):
    """Return a strategy for odd values in place of a sound one, mostly of its type."""
    if isinstance(value, str):
        return st.one_of(ODD_TEXTS, ODD_TEXTS, ODD)
    if isinstance(value, int | float) and not isinstance(value, bool):
        return st.one_of(ODD_NUMBERS, ODD_NUMBERS, ODD)
    return ODD


KEYS = st.one_of(
    st.text(max_size=8),
    st.sampled_from(
        [
            "",
            "\n",
            "a\r\nexpect-instance: x",
            "\x00",
            "@",
            "a@1",
            "x" * 255,
            "\ufffd" * 85,
        ]
    ),
    st.binary(max_size=12).map(lambda data: data.decode(errors="replace")),
)


def decoders():
    """Return name and decoder of all that decodes what other programs write."""
    found = {}
    for module in pkgutil.walk_packages(granitetrestle.__path__, "granitetrestle."):
        if module.name.endswith("__main__"):
            continue
        for name, value in vars(importlib.import_module(module.name)).items():
            if isinstance(value, msgspec.json.Decoder | msgspec.msgpack.Decoder):
                found[f"{module.name}.{name}"] = value
    return found


@functools.cache
def sound(kind):
    """Return a strategy for builtin values of a type."""
    return _sound(msgspec.inspect.type_info(kind))


def _sound(info):
    inspect = msgspec.inspect
    if isinstance(info, inspect.Metadata):
        return _sound(info.type)
    if isinstance(info, inspect.IntType):
        return st.integers(0, 5)
    if isinstance(info, inspect.FloatType):
        return st.sampled_from([0.0, 0.5, 3.0])
    if isinstance(info, inspect.StrType):
        return st.sampled_from(["", "a", "127.0.0.1:80", "pool", "done", "b" * 16])
    if isinstance(info, inspect.BytesType):
        return st.sampled_from(["", "YQ=="])
    if isinstance(info, inspect.BoolType):
        return st.booleans()
    if isinstance(info, inspect.LiteralType):
        return st.sampled_from(info.values)
    if isinstance(info, inspect.UnionType):
        return st.one_of(*map(_sound, info.types))
    if isinstance(info, inspect.NoneType):
        return st.none()
    if isinstance(info, inspect.TupleType):
        return st.tuples(*map(_sound, info.item_types)).map(list)
    if isinstance(info, inspect.ListType | inspect.VarTupleType | inspect.SetType):
        return st.lists(_sound(info.item_type), max_size=2)
    if isinstance(info, inspect.DictType):
        keys = _sound(info.key_type)
        return st.dictionaries(keys, _sound(info.value_type), max_size=2)
    if isinstance(info, inspect.StructType):
        return _struct(info)
    assert isinstance(info, inspect.AnyType | inspect.RawType), info
    return st.sampled_from([1, "a", [1], ["sound", "t"], None])


def _struct(info):
    if info.array_like:
        fields = [_sound(field.type) for field in info.fields]
        tag = [] if info.tag is None else [st.just(info.tag)]
        return st.tuples(*tag, *fields).map(list)
    required = {f.encode_name: _sound(f.type) for f in info.fields if f.required}
    optional = {f.encode_name: _sound(f.type) for f in info.fields if not f.required}
    return st.fixed_dictionaries(required, optional=optional)


@st.composite
def odd_document(draw, kind):
    """Draw a document of a type, of which up to two values are odd."""
    document = draw(sound(kind))
    for _ in range(draw(st.sampled_from((0, 1, 1, 1, 2)))):
        document = _replaced(draw, document)
    return document


def _replaced(draw, document):
    if not isinstance(document, list | dict) or not document:
        return draw(odd_instead_of(document))
    if draw(st.integers(0, 9)) == 0:
        return draw(ODD)
    places = (
        range(len(document))
        if isinstance(document, list)
        else sorted(document, key=str)
    )
    place = draw(st.sampled_from(list(places)))
    changed = document.copy()
    changed[place] = _replaced(draw, document[place])
    return changed


@st.composite
def odd_json(draw, kind):
    """Draw a JSON text of a type with odd values, or any bytes."""
    if draw(st.integers(0, 9)) == 0:
        return draw(st.binary(max_size=40))
    document = draw(odd_document(kind))
    raw = draw(st.sampled_from(RAW_JSON)) if draw(st.integers(0, 4)) == 0 else None
    if raw is not None and isinstance(document, list | dict) and document:
        document = document.copy()
        places = (
            range(len(document)) if isinstance(document, list) else sorted(document)
        )
        document[draw(st.sampled_from(list(places)))] = PLACEHOLDER
    text = json.dumps(document).encode()
    return text.replace(json.dumps(PLACEHOLDER).encode(), raw or b"0")


@st.composite
def odd_msgpack(draw, kind):
    """Draw a MessagePack value of a type with odd values, or any bytes."""
    if draw(st.integers(0, 9)) == 0:
        return draw(
            st.one_of(st.binary(max_size=40), st.just(b"\x91" * DEPTH + b"\xc0"))
        )
    return msgspec.msgpack.encode(draw(odd_document(kind)))


def odd(decoder):
    """Return a strategy for bytes that are given to a decoder."""
    is_json = isinstance(decoder, msgspec.json.Decoder)
    return odd_json(decoder.type) if is_json else odd_msgpack(decoder.type)


def check_numbers(value):
    """Fail if a decoded value holds a number that can't be calculated with."""
    if isinstance(value, bool | str | bytes | None):
        return
    if isinstance(value, int):
        assert abs(value) < 2**63, value
    elif isinstance(value, float):
        assert math.isfinite(value) and math.isfinite(value * value), value
    elif isinstance(value, dict):
        for item in [*value, *value.values()]:
            check_numbers(item)
    elif isinstance(value, list | tuple | set | frozenset):
        for item in value:
            check_numbers(item)
    elif isinstance(value, msgspec.Struct):
        for name in value.__struct_fields__:
            check_numbers(getattr(value, name))
