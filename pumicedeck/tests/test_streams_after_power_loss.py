"""Streams that callers resume at other gateways after all gateways lost power at once.

Guards against a text that is joined from the output of two software versions: no gateway remembers
a stream, so the version that began it is known from the store and from the endpoints only. Each
test names who can tell the version, and which answer the caller gets if nobody can.
"""

import pytest

from pumicedeck.platform.registrations import ENDPOINT_TABLE
from pumicedeck.tests.stream_fixtures import StreamFixture
from pumicedeck.work_mirrors import WORK_TABLE

MIXED = ("v1", "v2", "v1", "v2")
VERSION_GONE = 214
VERSION_UNKNOWN = 215


@pytest.fixture
def make_streams(monkeypatch):
    """Return a function that makes fixtures whose gateways draw the same random numbers."""
    monkeypatch.setattr("pumicedeck.gateway_compositions.time.time_ns", lambda: 7)
    made = []

    def make(gateways=2, software=MIXED):
        made.append(StreamFixture(gateways, software))
        return made[-1]

    yield make
    for each in made:
        each.close()


def begun_at(callers, software):
    return [caller for caller in callers if caller.events and caller.events[0][1] == software]


def leave(fixture, software):
    """Let all endpoints of a version crash and their registrations be removed."""
    for each in fixture.endpoints_of(software):
        each.crash()
        each.unregister()


def come_back(fixture, endpoint, software, name=None):
    """Register an endpoint of a version, the next incarnation of one that left."""
    return fixture.add_endpoint(name or endpoint.name, software, endpoint.incarnation + 1)


def check_refused(callers, code):
    assert callers
    for caller in callers:
        assert (caller.status, caller.code) == (503, code), (caller.name, caller.answer)


def test_streams_go_on_at_the_version_that_the_store_names(make_streams):
    """The base row and the records tell the version of each stream: all go on."""
    fixture = make_streams()
    callers = fixture.begin(count=14)
    fixture.run(0.35)
    assert begun_at(callers, "v1") and begun_at(callers, "v2")
    fixture.lose_power(1.0)
    fixture.resume(callers, fixture.start_again())
    fixture.run(2.0)
    fixture.check()
    assert fixture.completed(callers) == 14


@pytest.mark.parametrize("when", ["before", "while down", "after"])
def test_streams_of_a_base_version_that_left_are_refused_and_the_others_go_on(make_streams, when):
    """The store tells the version of each stream; the directory tells that the base has left."""
    fixture = make_streams()
    assert fixture.base() == "v1"
    callers = fixture.begin(count=14)
    fixture.run(0.35)
    old, new = begun_at(callers, "v1"), begun_at(callers, "v2")
    if when == "before":
        leave(fixture, "v1")
        fixture.run(0.05)
    fixture.lose_power(0.5)
    if when == "while down":
        leave(fixture, "v1")
    fixture.run(0.5)
    started = fixture.start_again()
    fixture.resume(callers, started)
    if when == "after":
        fixture.run(0.5)
        leave(fixture, "v1")
        fixture.run(0.1)
        fixture.resume(old, started)
    fixture.run(2.0)
    fixture.check()
    assert fixture.completed(new) == len(new)
    check_refused([caller for caller in old if not caller.is_complete], VERSION_GONE)


def test_a_stream_begun_at_the_only_version_left_is_not_taken_for_one_of_the_base(make_streams):
    """The base leaves and returns around the loss; records tell which streams began in between."""
    fixture = make_streams(gateways=1, software=("v1",))
    old = fixture.endpoints[0]
    fixture.add_endpoint("s-8", "v2")
    fixture.add_endpoint("s-9", "v2")
    leave(fixture, "v1")
    fixture.run(0.05)
    callers = fixture.begin(count=12)
    fixture.run(0.1)
    assert len(begun_at(callers, "v2")) == 12
    fixture.lose_power(0.3)
    come_back(fixture, old, "v1")
    fixture.resume(callers, fixture.start_again())
    fixture.run(2.0)
    fixture.check()
    assert fixture.completed(callers) == 12


def test_a_stream_begun_without_a_record_is_not_taken_for_one_of_a_base_that_returns(make_streams):
    """The store is away when the streams begin, so nobody can tell: they are not resumed."""
    fixture = make_streams(gateways=1, software=("v1", "v2"))
    old = fixture.endpoints_of(fixture.base())[0]
    leave(fixture, fixture.base())
    fixture.run(0.1)
    fixture.standin.faults.down = True
    callers = fixture.begin(count=6)
    fixture.run(0.3)
    fixture.lose_power(0.3)
    come_back(fixture, old, old.software)
    fixture.resume([caller for caller in callers if caller.events], fixture.start_again())
    fixture.run(2.0)
    fixture.check()


def test_a_stream_that_began_before_the_base_row_is_not_taken_for_one_of_the_base(make_streams):
    """Records tell the versions of streams that began before the pool had a row."""
    fixture = make_streams(software=())
    old = fixture.add_endpoint("s-1", "v1")
    fixture.run(0.05)
    callers = fixture.begin(count=6)
    fixture.run(0.1)
    assert len(begun_at(callers, "v1")) == 6
    leave(fixture, "v1")
    fixture.lose_power(0.5)
    come_back(fixture, old, "v2", name="s-2")
    started = fixture.start_again()
    fixture.run(1.5)
    fixture.resume(callers, started)
    fixture.run(2.0)
    fixture.check()
    check_refused(callers, VERSION_GONE)


def test_a_stream_that_began_without_row_and_store_is_not_taken_for_one_of_the_base(make_streams):
    """Neither a row nor a record can be written, so that nobody could ever tell the version."""
    fixture = make_streams(gateways=1, software=())
    old = fixture.add_endpoint("s-1", "v1")
    fixture.run(0.05)
    fixture.standin.faults.down = True
    callers = fixture.begin(count=6)
    fixture.run(0.3)
    fixture.lose_power(0.3)
    leave(fixture, "v1")
    come_back(fixture, old, "v2", name="s-2")
    started = fixture.start_again()
    fixture.run(1.5)
    begun = [caller for caller in callers if caller.events]
    fixture.resume(begun, started)
    fixture.run(2.0)
    fixture.check()
    assert all(caller.code in (VERSION_GONE, VERSION_UNKNOWN) for caller in begun)
    assert all(caller.status == 503 for caller in callers)


@pytest.mark.parametrize("write", ["carried out", "lost", "carried out late"])
def test_a_record_whose_write_was_under_way_keeps_streams_apart(make_streams, write):
    """No event of these streams was passed on, so that their callers begin them anew."""
    fixture = make_streams(gateways=1)
    faults = fixture.store_of(0).faults
    faults.delay = 0.2 if write == "carried out" else faults.delay
    faults.silent = write == "lost"
    faults.late_commits = 40 if write == "carried out late" else 0
    callers = fixture.begin(count=12)
    fixture.lose_power(0.5)
    faults.silent, faults.late_commits, faults.delay = False, 0, 0.005
    started = fixture.start_again()
    fixture.resume(callers, started)
    fixture.run(2.5)
    fixture.check()
    assert fixture.completed(callers) == 12


def test_a_gateway_without_the_rows_of_versions_refuses_streams(make_streams):
    """A gateway has the endpoints, but nobody tells it the base: only records would do."""
    fixture = make_streams()
    callers = fixture.begin(count=12)
    fixture.run(0.35)
    old = begun_at(callers, "v1")
    fixture.lose_power(0.5)
    started = fixture.start_again(1, withheld=(WORK_TABLE,))
    fixture.run(0.2)
    fixture.resume(callers, started)
    new = fixture.begin(gateway=started[0], count=4)
    fixture.run(2.0)
    fixture.check()
    check_refused(old, VERSION_UNKNOWN)
    # It cannot know either whether the other gateways look for the records of new streams.
    assert all(caller.status == 503 and not caller.events for caller in new)


def test_a_gateway_without_the_list_of_endpoints_does_not_say_that_a_version_is_gone(make_streams):
    """The store tells the version, but nobody tells the gateway which endpoints run it."""
    fixture = make_streams()
    callers = fixture.begin(count=12)
    fixture.run(0.35)
    fixture.lose_power(0.5)
    (started,) = fixture.start_again(1, withheld=(ENDPOINT_TABLE,))
    fixture.run(0.2)
    fixture.resume(callers, [started])
    fixture.run(0.5)
    assert all(caller.status == 503 and caller.code != VERSION_GONE for caller in callers)
    fixture.store_of(started).withheld = ()
    fixture.run(0.5)
    fixture.resume(callers, [started])
    fixture.run(2.0)
    fixture.check()
    assert fixture.completed(callers) == 12


def test_streams_go_on_once_a_store_that_was_silent_after_the_restart_answers(make_streams):
    """Gateways know nothing while the store is silent, and refuse everything."""
    fixture = make_streams()
    callers = fixture.begin(count=12)
    fixture.run(0.35)
    fixture.lose_power(0.5)
    started = fixture.start_again(silent=True)
    fixture.run(1.0)
    fixture.resume(callers, started)
    fixture.run(0.5)
    assert all(caller.status == 503 and caller.code != VERSION_GONE for caller in callers)
    for each in started:
        fixture.store_of(each).faults.silent = False
    fixture.run(1.0)
    fixture.resume(callers, started)
    fixture.run(2.0)
    fixture.check()
    assert fixture.completed(callers) == 12


@pytest.mark.parametrize("software", [("v1",), ("v1", "v1"), ("v1", "v1", "v2")])
def test_a_stream_does_not_go_on_at_an_endpoint_that_restarted_while_nobody_watched(
    make_streams, software
):
    """Only the endpoint knows that it has restarted; its registration still names v1."""
    fixture = make_streams(software=software)
    callers = fixture.begin(count=12)
    fixture.run(0.35)
    fixture.lose_power(0.5)
    fixture.endpoints[0].restart("v2")
    fixture.resume(callers, fixture.start_again())
    fixture.run(2.0)
    fixture.check()


def test_a_stream_does_not_go_on_at_a_restarted_endpoint_that_another_gateway_called(make_streams):
    """The gateway that resumes the streams has lost no connection to the endpoint."""
    fixture = make_streams(software=("v1",))
    callers = fixture.begin(count=6)
    fixture.run(0.35)
    fixture.endpoints[0].restart("v2")
    fixture.run(0.05)
    fixture.resume(callers, [1])
    fixture.run(2.0)
    fixture.check()


@pytest.mark.parametrize("is_known", [False, True])
def test_a_stream_that_begins_at_a_restarted_endpoint_counts_for_its_new_version(
    make_streams, is_known
):
    """Only the endpoint knows its version until its new registration arrives.

    One that `is_known` has served streams before, and loses no call when it restarts.
    """
    fixture = make_streams(gateways=1, software=("v1", "v1"))
    restarted = fixture.endpoints[0]
    if is_known:
        fixture.begin(count=4)
        fixture.run(1.5)
        assert restarted.calls
    restarted.restart("v2")
    callers = fixture.begin(count=12)
    fixture.run(0.35)
    restarted.register()
    fixture.lose_power(0.5)
    fixture.resume(callers, fixture.start_again())
    fixture.run(2.0)
    fixture.check()
    assert fixture.completed(callers) == 12


def test_streams_on_kept_connections_cost_no_question(make_streams):
    """An endpoint is asked once for its first streams, then only on new connections."""
    fixture = make_streams(gateways=1, software=("v1", "v1"))

    def questions():
        return sum(call.target == "/report" for each in fixture.endpoints for call in each.calls)

    assert questions() == 0
    fixture.begin(count=6)
    fixture.run(1.5)
    first = questions()
    # One before the first stream at each endpoint, at most one on each connection.
    assert 2 <= first <= 2 + 6
    for _ in range(3):
        fixture.begin(count=6)
        fixture.run(1.5)
    assert questions() == first
    assert fixture.completed(fixture.callers) == 24


def test_streams_that_cannot_be_resumed_cost_no_question(make_streams):
    fixture = make_streams(gateways=1, software=("v1", "v1"))
    fixture.configure_streams(3, resumable=False)
    fixture.run(0.5)
    fixture.begin(count=6)
    fixture.run(1.5)
    assert fixture.completed(fixture.callers) == 6
    assert all(call.target != "/report" for each in fixture.endpoints for call in each.calls)


def test_two_releases_with_power_losses_in_between_join_no_text(make_streams):
    """The moments of deploy/days/rejoined.toml: releases at 6, 20 and 32 s, losses after each."""
    fixture = make_streams(gateways=3, software=("v1", "v1", "v1", "v1"))
    fleet = list(fixture.endpoints)
    running = [0, 1, 2]
    callers, resumed, gone = [], [], []

    def replace(number, software):
        """Replace an endpoint by one of another version, most of them under another name."""
        former = fleet[number]
        if number == 3:
            # Comes back under its name; its new registration is late.
            former.restart(software)
            fixture.loop.timers.call_later(3.4, former.register)
            return
        fleet[number] = fixture.add_endpoint(f"{software}-{number}", software)
        former.register("draining")
        fixture.loop.timers.call_later(1.2, lambda: (former.crash(), former.unregister()))

    start_at = fixture.loop.timers.now()
    events = [(6.0, lambda: replace(0, "v2")), (20.0, lambda: replace(0, "v3"))]
    events += [(6.7 + 0.4 * n, lambda n=n: replace(n, "v2")) for n in (1, 2, 3)]
    events += [(20.7 + 0.8 * n, lambda n=n: replace(n, "v3")) for n in (1, 2, 3)]
    events += [(32.0 + 0.4 * n, lambda n=n: replace(n, "v4")) for n in (0, 1)]
    losses = [(8.3, 2.6), (23.0, 2.2), (41.0, 1.0)]
    events.sort(key=lambda event: event[0])
    while fixture.loop.timers.now() < start_at + 50.0:
        at = fixture.loop.timers.now() - start_at
        while events and events[0][0] <= at:
            events.pop(0)[1]()
        if losses and losses[0][0] <= at:
            fixture.lose_power(losses.pop(0)[1])
            running = fixture.start_again(3)
        open_callers = [each for each in callers if not each.is_complete]
        for number, caller in enumerate(open_callers):
            if not (caller.is_closed or caller.status == 503):
                continue
            if caller.code == VERSION_GONE or not caller.events:
                gone.extend([caller] if caller.events else [])
                caller.begin_anew(running[number % 3])
            else:
                resumed.append(caller)
                caller.send(running[number % 3])
        if at < 46.0:
            callers += fixture.begin(gateway=running[len(callers) % 3])
        fixture.run(0.25)
    fixture.check()
    assert fixture.completed(callers) == len(callers)
    assert len(resumed) >= 12
