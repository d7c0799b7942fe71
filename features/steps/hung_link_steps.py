"""Steps of the scenario over a connection between processes that hung while it opened."""

import socket
import time

from behave import given
from behave import then
from behave import when

from granitetrestle.peerlink import PeerLink

# More than a listener without a queue takes before it drops what opens a connection.
FILLERS = 4
# What ZMTP, the protocol between processes, begins with.
GREETING = b"\xff"


@given("a process whose peer's machine drops what opens connections")
def dropping_peer(context):
    context.listener = socket.socket()
    context.listener.bind(("127.0.0.1", 0))
    context.listener.listen(0)
    context.address = context.listener.getsockname()
    context.fillers = []
    for _ in range(FILLERS):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(context.address)
        context.fillers.append(filler)
    time.sleep(0.1)


@when(
    "it opens a connection there, and {seconds:g} seconds later the peer answers again"
)
def opens_and_heals(context, seconds):
    link = PeerLink("n1", "n1-1", "secret", "127.0.0.1:0")
    context.add_cleanup(link.close)
    link.connect("n2", f"{context.address[0]}:{context.address[1]}")
    time.sleep(seconds)
    for filler in context.fillers:
        filler.close()


@then("the connection stands within {seconds:g} seconds")
def stands(context, seconds):
    began = time.monotonic()
    context.listener.settimeout(0.2)
    while time.monotonic() - began < seconds:
        try:
            channel, _ = context.listener.accept()
        except TimeoutError:
            continue
        channel.settimeout(0.2)
        try:
            if channel.recv(1) == GREETING:
                return
        except OSError:
            # One of those that filled the queue.
            continue
    raise AssertionError(f"no connection within {seconds} s")
