"""Tests of the poller for many sockets; the tests of other modules over HTTP also run on it."""

from pumicedeck.http_servers import HttpServer
from pumicedeck.pollers import SocketSet
from pumicedeck.tests.loop_harnesses import LoopHarness
from pumicedeck.topology import Address


class Member:
    """Counts comparisons of all members."""

    compared = 0

    def __eq__(self, other):
        Member.compared += 1
        return self is other

    __hash__ = object.__hash__


def test_finding_one_of_many_compares_few():
    members = [Member() for _ in range(1000)]
    socket_set = SocketSet(members)
    Member.compared = 0
    assert members[-1] in socket_set and Member() not in socket_set
    socket_set.remove(members[500])
    socket_set.append(members[500])
    socket_set.append(members[500])
    assert Member.compared < 10
    assert len(socket_set) == 1000 and socket_set[:][-1] is members[500]


def test_process_has_no_list_of_sockets_to_walk_through():
    loop = LoopHarness()
    server = HttpServer(Address("127.0.0.1", 0), "web", lambda exchange: None).register(loop)
    loop.settle()
    socket_sets = [loop.poller._read, loop.poller._write, server._web.server._clients]
    assert {type(each) for each in socket_sets} == {SocketSet}
    loop.stop_and_check()
