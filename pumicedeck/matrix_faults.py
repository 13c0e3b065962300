"""The faults of the matrix: what each does to the processes that handle the target request."""

from __future__ import annotations

from collections.abc import Callable

from pumicedeck.faults import Fault
from pumicedeck.simulated_networks import Session, drop_message, flip_first_byte
from pumicedeck.simulated_processes import SimulatedProcess
from pumicedeck.simulations import (
    GRACE_SECONDS,
    LIST_LAG_SECONDS,
    RESTART_SECONDS,
    TARGET,
    Simulation,
)

SHORT_PAUSE_SECONDS = 1.5
LONG_PAUSE_SECONDS = 20.0
OUTAGE_SECONDS = 30.0
SLOW_STORE_SECONDS = 5.0
STALL_SECONDS = 8.0
PARTITION_SECONDS = 60.0
VM_SECONDS = 5.0

Inject = Callable[[Simulation], None]

FAULTS: dict[str, Inject] = {}


def fault(name: str) -> Callable[[Inject], Inject]:
    """Register a fault of the matrix."""

    def register(inject: Inject) -> Inject:
        FAULTS[name] = inject
        return inject

    return register


@fault("endpoint crashes")
def crash_endpoint(simulation: Simulation) -> None:
    """Break the endpoint's connections and refuse new ones for a while."""
    endpoint = simulation.target_processes.agent.endpoint
    endpoint.crash()
    simulation.time.call_later(RESTART_SECONDS, lambda: setattr(endpoint, "is_up", True))


@fault("endpoint refuses connections")
def refuse_connections(simulation: Simulation) -> None:
    """Let what runs go on but take no new connection for a while."""
    endpoint = simulation.target_processes.agent.endpoint
    endpoint.is_up = False
    simulation.time.call_later(RESTART_SECONDS, lambda: setattr(endpoint, "is_up", True))


@fault("endpoint connections go silent")
def silence_endpoint(simulation: Simulation) -> None:
    """Never report what the endpoint runs now."""
    simulation.target_processes.agent.endpoint.silence()


@fault("agent killed")
def kill_agent(simulation: Simulation) -> None:
    """End the agent; its endpoint goes on and the agent comes back without memory."""
    agent = simulation.target_processes.agent
    if not agent.is_alive:
        return
    simulation.end_agent(agent)
    number = int(agent.incarnation.rpartition("/")[2]) + 1
    simulation.time.call_later(
        RESTART_SECONDS, lambda: simulation.replace_agent(agent, agent.vm, number)
    )


@fault("agent's VM lost")
def lose_agent_vm(simulation: Simulation) -> None:
    """End agent and endpoint without a sign; the VM list tells of it late."""
    agent = simulation.target_processes.agent
    if not agent.is_alive:
        return
    simulation.end_agent(agent, is_noticed=False)
    agent.endpoint.crash()
    time = simulation.time
    time.call_later(VM_SECONDS, lambda: simulation.add_agent(agent.vm + "n", 1))
    time.call_later(LIST_LAG_SECONDS, lambda: _tell_gone(simulation, agent.incarnation))


@fault("agent stopped for 1.5 s")
def stop_agent_briefly(simulation: Simulation) -> None:
    """Stop and resume the agent before anybody notices."""
    _pause(simulation, simulation.target_processes.agent, SHORT_PAUSE_SECONDS)


@fault("agent stopped for 20 s")
def stop_agent(simulation: Simulation) -> None:
    """Stop and resume the agent after its sessions were given up."""
    _pause(simulation, simulation.target_processes.agent, LONG_PAUSE_SECONDS)


@fault("entry killed")
def kill_entry(simulation: Simulation) -> None:
    """End the entry; its callers' connections break."""
    simulation.end_entry(simulation.target_processes.entry)


@fault("entry stopped for 1.5 s")
def stop_entry_briefly(simulation: Simulation) -> None:
    """Stop and resume the entry before anybody notices."""
    _pause(simulation, simulation.target_processes.entry, SHORT_PAUSE_SECONDS)


@fault("entry stopped for 20 s")
def stop_entry(simulation: Simulation) -> None:
    """Stop and resume the entry after its sessions were given up."""
    _pause(simulation, simulation.target_processes.entry, LONG_PAUSE_SECONDS)


@fault("store down for 30 s")
def store_down(simulation: Simulation) -> None:
    """Refuse all calls to the table service."""
    for entry in simulation.entries:
        entry.store.faults.down = True
    simulation.time.call_later(OUTAGE_SECONDS, lambda: _heal_stores(simulation))


@fault("store takes 5 s")
def store_slow(simulation: Simulation) -> None:
    """Delay all calls to the table service."""
    for entry in simulation.entries:
        entry.store.faults.delay = SLOW_STORE_SECONDS
    simulation.time.call_later(OUTAGE_SECONDS, lambda: _heal_stores(simulation))


@fault("store reply lost")
def store_reply_lost(simulation: Simulation) -> None:
    """Lose the replies to the calls under way and to the next commit, after their effect."""
    faults = simulation.target_processes.entry.store.faults
    faults.silence_open()
    faults.script(Fault.LOSE_REPLY, operation="commit")


@fault("store goes silent")
def store_silent(simulation: Simulation) -> None:
    """Let the entry's calls to the table service take effect but never return."""
    faults = simulation.target_processes.entry.store.faults
    faults.silent = True
    simulation.time.call_later(OUTAGE_SECONDS, lambda: setattr(faults, "silent", False))


@fault("session goes silent")
def silence_session(simulation: Simulation) -> None:
    """Lose all that is sent over a session; a new one works."""
    for session in _sessions(simulation):
        simulation.network.silence(session, session.entry, session.agent)


@fault("session silent towards agent")
def silence_towards_agent(simulation: Simulation) -> None:
    """Lose all that the entry sends over a session."""
    for session in _sessions(simulation):
        simulation.network.silence(session, session.entry)


@fault("session silent towards entry")
def silence_towards_entry(simulation: Simulation) -> None:
    """Lose all that the agent sends over a session."""
    for session in _sessions(simulation):
        simulation.network.silence(session, session.agent)


@fault("session reset")
def reset_session(simulation: Simulation) -> None:
    """Break a session so that both sides learn of it."""
    for session in _sessions(simulation):
        simulation.network.reset(session)


@fault("session delivers 8 s late")
def stall_session(simulation: Simulation) -> None:
    """Deliver what the entry sends after the session was replaced."""
    for session in _sessions(simulation):
        simulation.network.stall(session, STALL_SECONDS)


@fault("entry and agent cut off for 60 s")
def partition(simulation: Simulation) -> None:
    """Let no session between the two work for a while."""
    for session in _sessions(simulation):
        simulation.network.partition(session, PARTITION_SECONDS)


@fault("answer damaged in flight")
def damage_answer(simulation: Simulation) -> None:
    """Change a byte of the next chunk or answer."""
    for session in _sessions(simulation):
        session.corrupt_next_answer = flip_first_byte


@fault("chunk or answer lost")
def lose_answer(simulation: Simulation) -> None:
    """Lose the next chunk or answer of a session that works otherwise."""
    for session in _sessions(simulation):
        session.corrupt_next_answer = drop_message


@fault("dispatch delivered twice")
def repeat_dispatch(simulation: Simulation) -> None:
    """Deliver the next dispatch to each agent twice."""
    entry = simulation.target_processes.entry
    for agent in simulation.agents:
        session = simulation.network.session(entry, agent.incarnation)
        if session:
            session.duplicate_next_dispatch = True


@fault("caller goes away")
def caller_leaves(simulation: Simulation) -> None:
    """Close the connections of the target's callers."""
    simulation.callers.disconnect_callers(TARGET)


@fault("caller repeats through another entry")
def caller_repeats(simulation: Simulation) -> None:
    """Call again with the same request id."""
    simulation.callers.repeat_call(TARGET)


@fault("agent drains")
def drain_agent(simulation: Simulation) -> None:
    """Let the agent leave."""
    if simulation.target_processes.agent.is_alive:
        simulation.target_processes.agent.begin_drain(GRACE_SECONDS)


@fault("entry drains")
def drain_entry(simulation: Simulation) -> None:
    """Let the entry leave."""
    if simulation.target_processes.entry.is_alive:
        simulation.target_processes.entry.begin_drain()


def _sessions(simulation: Simulation) -> list[Session]:
    """Return the session that carries the target; all of its entry's before it is dispatched."""
    target_processes = simulation.target_processes
    agents = [target_processes.agent] if target_processes.is_dispatched else simulation.agents
    sessions = [
        simulation.network.session(target_processes.entry, each.incarnation) for each in agents
    ]
    return [each for each in sessions if each]


def _pause(simulation: Simulation, process: SimulatedProcess, seconds: float) -> None:
    if not process.is_alive or process.is_paused:
        return
    process.pause()
    for handle in simulation.callers.open_calls_at(process):
        simulation.oracle.allow_late_answer(handle)
    if seconds > SHORT_PAUSE_SECONDS:
        simulation.network.process_paused(process)
    simulation.time.call_later(seconds, process.resume)


def _tell_gone(simulation: Simulation, incarnation: str) -> None:
    for entry in simulation.entries:
        entry.peer_replaced(incarnation)


def _heal_stores(simulation: Simulation) -> None:
    for entry in simulation.entries:
        entry.store.faults.down = False
        entry.store.faults.delay = 0.0
