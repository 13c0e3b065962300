"""The virtual time of tests on sockets, beside a kernel that delivers bytes late."""

import socket

from pumicedeck.tests.test_http_listeners import ListenerHarness


def test_virtual_time_waits_for_bytes_that_the_kernel_has_not_delivered():
    # Three turns without an event counted as idle sockets, so that time-outs of the listener passed
    # while bytes were on their way. A corked socket holds them for up to 200 ms.
    harness = ListenerHarness()
    sock = harness.connect()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
    harness.send(sock, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert len(harness.calls) == 1
    harness.close()


def test_bytes_that_the_receiver_has_no_room_for_do_not_hold_virtual_time():
    harness = ListenerHarness()
    receiver, sender = socket.socketpair()
    sender.setblocking(False)
    harness.loop.watch(sender)
    try:
        while True:
            sender.send(b"x" * 65536)
    except BlockingIOError:
        pass
    for _ in range(5):
        harness.loop.advance(1.0)
    assert harness.loop.timers.now() >= 5.0
    receiver.close()
    sender.close()
    harness.loop.settle()
    harness.close()
