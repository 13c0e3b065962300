"""The faults of the fault matrix; each acts on the processes that handle the target request."""

from __future__ import annotations

from collections.abc import Callable

from pumicedeck.faults import Fault
from pumicedeck.simulated_networks import Session, drop_message, flip_first_byte
from pumicedeck.simulated_processes import SimulatedProcess
from pumicedeck.simulations import (
    DRAIN_GRACE_SECONDS,
    RESTART_DELAY_SECONDS,
    TARGET,
    VM_LIST_LAG_SECONDS,
    Simulation,
)

SHORT_PAUSE_SECONDS = 1.5
LONG_PAUSE_SECONDS = 20.0
STORE_OUTAGE_SECONDS = 30.0
STORE_DELAY_SECONDS = 5.0
SESSION_STALL_SECONDS = 8.0
PARTITION_SECONDS = 60.0
VM_REPLACEMENT_DELAY_SECONDS = 5.0

FaultInjector = Callable[[Simulation], None]

FAULTS: dict[str, FaultInjector] = {}


def fault(name: str) -> Callable[[FaultInjector], FaultInjector]:
    """Register a fault of the matrix under `name`."""

    def register(inject: FaultInjector) -> FaultInjector:
        FAULTS[name] = inject
        return inject

    return register


@fault("endpoint crashes")
def crash_endpoint(simulation: Simulation) -> None:
    """Break the connections of the endpoint and refuse new ones until it restarts."""
    endpoint = simulation.target_processes.agent.endpoint
    endpoint.crash()
    simulation.time.call_later(RESTART_DELAY_SECONDS, lambda: setattr(endpoint, "is_up", True))


@fault("endpoint refuses connections")
def refuse_connections(simulation: Simulation) -> None:
    """Refuse new connections for a while; running requests continue."""
    endpoint = simulation.target_processes.agent.endpoint
    endpoint.is_up = False
    simulation.time.call_later(RESTART_DELAY_SECONDS, lambda: setattr(endpoint, "is_up", True))


@fault("endpoint connections go silent")
def silence_endpoint(simulation: Simulation) -> None:
    """Stop all output on the open connections of the endpoint; their requests keep running."""
    simulation.target_processes.agent.endpoint.silence()


@fault("agent killed")
def kill_agent(simulation: Simulation) -> None:
    """Kill the agent and restart it with empty state; its endpoint keeps running."""
    agent = simulation.target_processes.agent
    if not agent.is_alive:
        return
    simulation.end_agent(agent)
    number = int(agent.incarnation.rpartition("/")[2]) + 1
    simulation.time.call_later(
        RESTART_DELAY_SECONDS, lambda: simulation.replace_agent(agent, agent.vm, number)
    )


@fault("agent's VM lost")
def lose_agent_vm(simulation: Simulation) -> None:
    """Kill agent and endpoint without closing connections; the VM list drops the VM later."""
    agent = simulation.target_processes.agent
    if not agent.is_alive:
        return
    simulation.end_agent(agent, is_noticed=False)
    agent.endpoint.crash()
    time = simulation.time
    time.call_later(VM_REPLACEMENT_DELAY_SECONDS, lambda: simulation.add_agent(agent.vm + "n", 1))
    time.call_later(
        VM_LIST_LAG_SECONDS, lambda: _report_agent_removed(simulation, agent.incarnation)
    )


@fault("agent stopped for 1.5 s")
def stop_agent_briefly(simulation: Simulation) -> None:
    """Pause the agent for less than the silence limit of its sessions."""
    _pause(simulation, simulation.target_processes.agent, SHORT_PAUSE_SECONDS)


@fault("agent stopped for 20 s")
def stop_agent(simulation: Simulation) -> None:
    """Pause the agent until its sessions have been closed for silence, then resume it."""
    _pause(simulation, simulation.target_processes.agent, LONG_PAUSE_SECONDS)


@fault("entry killed")
def kill_entry(simulation: Simulation) -> None:
    """Kill the entry; the connections of its callers break."""
    simulation.end_entry(simulation.target_processes.entry)


@fault("entry stopped for 1.5 s")
def stop_entry_briefly(simulation: Simulation) -> None:
    """Pause the entry for less than the silence limit of its sessions."""
    _pause(simulation, simulation.target_processes.entry, SHORT_PAUSE_SECONDS)


@fault("entry stopped for 20 s")
def stop_entry(simulation: Simulation) -> None:
    """Pause the entry until its sessions have been closed for silence, then resume it."""
    _pause(simulation, simulation.target_processes.entry, LONG_PAUSE_SECONDS)


@fault("store down for 30 s")
def store_down(simulation: Simulation) -> None:
    """Refuse all calls to the table service for a while."""
    for entry in simulation.entries:
        entry.store.faults.down = True
    simulation.time.call_later(STORE_OUTAGE_SECONDS, lambda: _clear_store_faults(simulation))


@fault("store takes 5 s")
def store_slow(simulation: Simulation) -> None:
    """Delay all calls to the table service for a while."""
    for entry in simulation.entries:
        entry.store.faults.delay = STORE_DELAY_SECONDS
    simulation.time.call_later(STORE_OUTAGE_SECONDS, lambda: _clear_store_faults(simulation))


@fault("store reply lost")
def store_reply_lost(simulation: Simulation) -> None:
    """Lose the replies to the open calls and to the next commit; the calls take effect."""
    faults = simulation.target_processes.entry.store.faults
    faults.silence_open()
    faults.script(Fault.LOSE_REPLY, operation="commit")


@fault("store goes silent")
def store_silent(simulation: Simulation) -> None:
    """Let the calls of the entry to the table service take effect but never return a result."""
    faults = simulation.target_processes.entry.store.faults
    faults.silent = True
    simulation.time.call_later(STORE_OUTAGE_SECONDS, lambda: setattr(faults, "silent", False))


@fault("session goes silent")
def silence_session(simulation: Simulation) -> None:
    """Lose all messages of a session in both directions; a new session works."""
    for session in _sessions(simulation):
        simulation.network.silence(session, session.entry, session.agent)


@fault("session silent towards agent")
def silence_towards_agent(simulation: Simulation) -> None:
    """Lose all messages that the entry sends over a session."""
    for session in _sessions(simulation):
        simulation.network.silence(session, session.entry)


@fault("session silent towards entry")
def silence_towards_entry(simulation: Simulation) -> None:
    """Lose all messages that the agent sends over a session."""
    for session in _sessions(simulation):
        simulation.network.silence(session, session.agent)


@fault("session reset")
def reset_session(simulation: Simulation) -> None:
    """Reset a session; both sides see the connection close."""
    for session in _sessions(simulation):
        simulation.network.reset(session)


@fault("session delivers 8 s late")
def stall_session(simulation: Simulation) -> None:
    """Hold back the messages of the entry until the session has been replaced."""
    for session in _sessions(simulation):
        simulation.network.stall(session, SESSION_STALL_SECONDS)


@fault("entry and agent cut off for 60 s")
def partition(simulation: Simulation) -> None:
    """Prevent all sessions between the entry and the agent for a while."""
    for session in _sessions(simulation):
        simulation.network.partition(session, PARTITION_SECONDS)


@fault("answer damaged in flight")
def damage_answer(simulation: Simulation) -> None:
    """Corrupt a byte of the next chunk or answer."""
    for session in _sessions(simulation):
        session.corrupt_next_answer = flip_first_byte


@fault("chunk or answer lost")
def lose_answer(simulation: Simulation) -> None:
    """Lose the next chunk or answer of a session and deliver everything else."""
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
    """Close the connections of all callers of the target request."""
    simulation.callers.disconnect_callers(TARGET)


@fault("caller repeats through another entry")
def caller_repeats(simulation: Simulation) -> None:
    """Repeat the call through another entry with the same request id."""
    simulation.callers.repeat_call(TARGET)


@fault("agent drains")
def drain_agent(simulation: Simulation) -> None:
    """Start the drain of the agent."""
    if simulation.target_processes.agent.is_alive:
        simulation.target_processes.agent.begin_drain(DRAIN_GRACE_SECONDS)


@fault("entry drains")
def drain_entry(simulation: Simulation) -> None:
    """Start the drain of the entry."""
    if simulation.target_processes.entry.is_alive:
        simulation.target_processes.entry.begin_drain()


def _sessions(simulation: Simulation) -> list[Session]:
    """Return the session of the target request; before the dispatch, all sessions of its entry."""
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


def _report_agent_removed(simulation: Simulation, incarnation: str) -> None:
    for entry in simulation.entries:
        entry.peer_replaced(incarnation)


def _clear_store_faults(simulation: Simulation) -> None:
    for entry in simulation.entries:
        entry.store.faults.down = False
        entry.store.faults.delay = 0.0
