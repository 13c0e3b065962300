"""Plans of a soak: the faults and their times, drawn from a seed; free of I/O."""

import json
from dataclasses import asdict, dataclass
from enum import StrEnum
from random import Random

FIRST_FAULT_SECONDS = 2.0
LAST_FAULT_FRACTION = 0.75
MEAN_FAULT_GAP_SECONDS = 0.5
MAX_FAULT_SECONDS = 3.0


class FaultKind(StrEnum):
    """Kinds of external faults; each targets a gateway, an endpoint, or the store or routes.

    DELAY slows connections down, CUT and SILENCE withhold their data, RESET closes them.
    """

    KILL = "kill"
    PAUSE = "pause"
    TERMINATE = "terminate"
    DELAY_STORE = "delay store"
    CUT_STORE = "cut store"
    RESET_STORE = "reset store"
    SILENCE_CALLERS = "silence callers"
    RESET_CALLERS = "reset callers"
    DELAY_ENDPOINT = "delay endpoint"
    CUT_ENDPOINT = "cut endpoint"
    RESET_ENDPOINT = "reset endpoint"
    CRASH_ENDPOINT = "crash endpoint"
    STORE_DOWN = "store down"
    STORE_LOSES_REPLIES = "store loses replies"
    STORE_COMMITS_LATE = "store commits late"
    STORE_DROPS_HISTORY = "store drops history"
    CHANGE_ROUTES = "change routes"


GATEWAY_FAULT_KINDS = frozenset(
    (
        FaultKind.KILL,
        FaultKind.PAUSE,
        FaultKind.TERMINATE,
        FaultKind.DELAY_STORE,
        FaultKind.CUT_STORE,
        FaultKind.RESET_STORE,
        FaultKind.SILENCE_CALLERS,
        FaultKind.RESET_CALLERS,
    )
)
ENDPOINT_FAULT_KINDS = frozenset(
    (
        FaultKind.DELAY_ENDPOINT,
        FaultKind.CUT_ENDPOINT,
        FaultKind.RESET_ENDPOINT,
        FaultKind.CRASH_ENDPOINT,
    )
)
# Relative frequency of a kind; the kinds not listed have 1.
DRAW_WEIGHTS = {FaultKind.KILL: 3, FaultKind.PAUSE: 3, FaultKind.TERMINATE: 5}


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault from second `at` for `seconds`; `target` is the index of a gateway or endpoint."""

    at: float
    kind: FaultKind
    target: int
    seconds: float


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """The sizes and faults of a soak; after `seconds` of load, all open steps must settle."""

    seed: int
    seconds: float
    gateways: int
    engines: int
    services: int
    faults: tuple[Fault, ...]

    def encode(self) -> str:
        """Return the plan as JSON."""
        return json.dumps(asdict(self), indent=1)


def decode_plan(text: str) -> SoakPlan:
    """Decode a plan; raises ValueError, KeyError or TypeError if `text` is not one."""
    document = json.loads(text)
    faults = tuple(
        Fault(
            fault_document["at"],
            FaultKind(fault_document["kind"]),
            fault_document["target"],
            fault_document["seconds"],
        )
        for fault_document in document.pop("faults")
    )
    return SoakPlan(**document, faults=faults)


def draw_plan(seed: int, seconds: float, gateways: int, engines: int, services: int) -> SoakPlan:
    """Draw a plan; faults come in series and overlap, and no series begins in the last quarter."""
    random = Random(seed)
    kinds = tuple(FaultKind)
    weights = [DRAW_WEIGHTS.get(kind, 1) for kind in kinds]
    faults = []
    at = FIRST_FAULT_SECONDS
    while at < seconds * LAST_FAULT_FRACTION:
        (kind,) = random.choices(kinds, weights)
        repeats = random.choice((1, 1, 1, 2, 3))
        for _ in range(repeats):
            count = gateways if kind in GATEWAY_FAULT_KINDS else engines + services
            target = (
                random.randrange(count) if kind in GATEWAY_FAULT_KINDS | ENDPOINT_FAULT_KINDS else 0
            )
            duration = round(random.uniform(0.2, MAX_FAULT_SECONDS), 2)
            faults.append(Fault(round(at, 2), kind, target, duration))
            at += random.expovariate(1 / MEAN_FAULT_GAP_SECONDS) / 2
        at += random.expovariate(1 / MEAN_FAULT_GAP_SECONDS)
    return SoakPlan(seed, seconds, gateways, engines, services, tuple(faults))


def reduced_plans(plan: SoakPlan) -> list[SoakPlan]:
    """Return copies of a plan without one half of its faults, or without a single fault."""
    faults = plan.faults
    half = len(faults) // 2
    reduced_fault_lists = [faults[half:], faults[:half]] if half > 1 else []
    reduced_fault_lists += [faults[:at] + faults[at + 1 :] for at in range(len(faults))]
    common_fields = (plan.seed, plan.seconds, plan.gateways, plan.engines, plan.services)
    return [SoakPlan(*common_fields, reduced_faults) for reduced_faults in reduced_fault_lists]
