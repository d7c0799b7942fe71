"""Steps with a runner that misbehaves on purpose, behind the real adapter."""

import anyio
from behave import given
from behave import then
from behave import when

from granitetrestle.calls import Caller
from granitetrestle.calls import CallFailure
from granitetrestle.engine import REQUEST_ID_HEADER

BODY = b"the answer"
OWN_ID = b"request-1:1"


def _head(length, request_id=OWN_ID, status=b"200 OK", extra=b""):
    return (
        b"HTTP/1.1 " + status + b"\r\ncontent-length: " + str(length).encode() + b"\r\n"
        b"x-request-id: " + request_id + b"\r\n" + extra + b"\r\n"
    )


ANSWERS = {
    "answers whole": _head(len(BODY)) + BODY,
    "closes in the middle of body": _head(len(BODY)) + BODY[:4],
    "sends fewer bytes than told": _head(len(BODY) + 5) + BODY,
    "answers another request": _head(len(BODY), b"request-2:1") + BODY,
    "never answers": b"",
    "refuses before it began": _head(4, status=b"503 Busy", extra=b"x-refused: yes\r\n")
    + b"busy",
    "sends more than the limit": _head(2 * 1024 * 1024) + b"x" * (2 * 1024 * 1024),
}


@given('a runner that "{misbehaves}"')
def runner(context, misbehaves):
    context.misbehaves = misbehaves


async def _run(misbehaves):
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.listeners[0].extra(anyio.abc.SocketAttribute.local_port)

    async def serve(stream):
        async with stream:
            await stream.receive()
            answer = ANSWERS[misbehaves]
            if not answer:
                await anyio.sleep(5)
            try:
                await stream.send(answer)
            except anyio.BrokenResourceError:
                return

    async with anyio.create_task_group() as tasks:
        if misbehaves == "does not listen":
            await listener.aclose()
        else:
            tasks.start_soon(listener.serve, serve)
        reply = await Caller().call(
            f"127.0.0.1:{port}", "/", [(REQUEST_ID_HEADER, OWN_ID)], b"{}", 0.5
        )
        tasks.cancel_scope.cancel()
    return reply


@when("a request is sent to it")
def send(context):
    context.reply = anyio.run(_run, context.misbehaves)


@then('the caller is told "{outcome}" and gets no other body')
def told(context, outcome):
    reply = context.reply
    if outcome == "reply":
        assert reply.body == BODY, reply
        return
    # The engine drops a reply that names another request.
    if not isinstance(reply, CallFailure):
        assert reply.header(REQUEST_ID_HEADER) != OWN_ID, reply
        return
    assert reply.proof.may_have_run == (outcome == "may have run"), reply
