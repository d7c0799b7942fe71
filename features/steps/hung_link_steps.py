"""Steps for a connection between processes that hangs while it opens."""

import socket
import time

from behave import given
from behave import then
from behave import when

from granitetrestle.peerlink import PeerLink

# A listener with backlog 0 queues fewer connections than this, and drops the packets
# that open further ones.
QUEUED_CONNECTIONS = 4
# First byte of ZMTP, the protocol between processes.
GREETING = b"\xff"


@given("a process whose peer's machine drops what opens connections")
def dropping_peer(context):
    context.listener = socket.socket()
    context.listener.bind(("127.0.0.1", 0))
    context.listener.listen(0)
    context.address = context.listener.getsockname()
    context.queued_sockets = []
    for _ in range(QUEUED_CONNECTIONS):
        queued_socket = socket.socket()
        queued_socket.setblocking(False)
        queued_socket.connect_ex(context.address)
        context.queued_sockets.append(queued_socket)
    time.sleep(0.1)


@when(
    "it opens a connection there, and {seconds:g} seconds later the peer answers again"
)
def opens_and_recovers(context, seconds):
    link = PeerLink("n1", "n1-1", "secret", "127.0.0.1:0")
    context.add_cleanup(link.close)
    link.connect("n2", f"{context.address[0]}:{context.address[1]}")
    time.sleep(seconds)
    for queued_socket in context.queued_sockets:
        queued_socket.close()


@then("the connection stands within {seconds:g} seconds")
def connection_opens(context, seconds):
    started_at = time.monotonic()
    context.listener.settimeout(0.2)
    while time.monotonic() - started_at < seconds:
        try:
            accepted, _ = context.listener.accept()
        except TimeoutError:
            continue
        accepted.settimeout(0.2)
        try:
            if accepted.recv(1) == GREETING:
                return
        except OSError:
            # One of the connections that filled the queue.
            continue
    raise AssertionError(f"no connection within {seconds} s")
