"""Runs concurrent catalogue editors over a faulty store in virtual time and checks the history."""

from dataclasses import dataclass
from random import Random

from result import Ok, Result

from pumicedeck.catalogue_editors import CatalogueEditor
from pumicedeck.catalogue_entries import Catalogue, CatalogueEntry, Pool, RequestClass
from pumicedeck.catalogue_rows import (
    LOG_TABLE,
    CatalogueChange,
    RowKind,
    RowName,
    StoredCatalogue,
    apply_changes,
    decode_change,
    values_by_row_name,
)
from pumicedeck.catalogue_stores import CatalogueStore
from pumicedeck.clocks import VirtualTime
from pumicedeck.edits import Edit, EditAccepted, make_edit, new_change_id
from pumicedeck.experiment_stores import (
    ExperimentObjectStore,
    ExperimentTableStore,
    StoreFaults,
    StoreService,
)
from pumicedeck.results import Failure, ResultCode
from pumicedeck.topology import EndpointKind

CLIENTS = 8
EDITS_PER_CLIENT = 3
ROWS = 4
MAX_RUN_SECONDS = 36_000.0
MAX_EDIT_DELAY_SECONDS = 0.5
MAX_HISTORY_ROWS = CLIENTS * EDITS_PER_CLIENT

POOL = Pool("tools", EndpointKind.SERVICE)


@dataclass(frozen=True, slots=True)
class EditRaceReport:
    """Totals over all schedules.

    `asked_again` counts repeated queries for the outcome of an edit; `faults` has a line for each
    inconsistency found.
    """

    schedules: int
    accepted: int
    conflicts: int
    refused: int
    asked_again: int
    faults: tuple[str, ...]


class _Client:
    """An operator who edits the catalogue and queries unknown outcomes until they are certain."""

    def __init__(self, name: str, service: StoreService, rng: Random) -> None:
        self._name = name
        self._service = service
        self._rng = rng
        table = ExperimentTableStore(service)
        objects = ExperimentObjectStore(service)
        self._editor = CatalogueEditor(table, objects, service.timers, rng)
        self._remaining_edits = EDITS_PER_CLIENT
        self.edits: dict[str, Edit] = {}
        self.answers: dict[str, Result[EditAccepted, Failure]] = {}
        self.asked_again = 0

    @property
    def finished(self) -> bool:
        return self._remaining_edits == 0

    def schedule_next_edit(self) -> None:
        delay = self._rng.uniform(0.0, MAX_EDIT_DELAY_SECONDS)
        self._service.timers.call_later(delay, lambda: self._editor.read(self._submit_edit))

    def _submit_edit(self, read: Result[StoredCatalogue, Failure]) -> None:
        if not isinstance(read, Ok):
            self.schedule_next_edit()
            return
        edit = self._random_edit(read.ok_value)
        self.edits[edit.change_id] = edit
        self._editor.submit(edit, lambda answer: self._on_answer(edit, answer))

    def _random_edit(self, stored: StoredCatalogue) -> Edit:
        name = RowName(RowKind.ENTRY, f"e{self._rng.randrange(ROWS)}")
        token = f"{self._name}x{self._remaining_edits:08d}"
        change_id = new_change_id(stored.revision, token)
        if stored.row(name) and self._rng.random() < 0.2:
            return make_edit(stored, change_id, self._name, "", deletes=(name,))
        share = round(self._rng.uniform(0.1, 9.0), 6)
        entry = CatalogueEntry(name.name, name.name, RequestClass.BATCH, ("tools",), share=share)
        changed_rows = (entry,) if stored.row(RowName(RowKind.POOL, "tools")) else (POOL, entry)
        return make_edit(stored, change_id, self._name, "", changed_rows)

    def _on_answer(self, edit: Edit, answer: Result[EditAccepted, Failure]) -> None:
        unknown = answer.is_err() and answer.unwrap_err().code is ResultCode.EDIT_UNKNOWN
        if unknown:
            self.asked_again += 1
            self._editor.resolve(edit.change_id, lambda resolved: self._on_answer(edit, resolved))
            return
        self.answers[edit.change_id] = answer
        self._remaining_edits -= 1
        if self._remaining_edits:
            self.schedule_next_edit()


def run_edit_races(schedules: int, seed: int) -> EditRaceReport:
    """Run seeded schedules of concurrent editors and check their answers against the history."""
    accepted = conflicts = refused = asked_again = 0
    faults: list[str] = []
    for number in range(schedules):
        schedule = _Schedule(seed * 1_000_003 + number)
        schedule.run()
        faults += [f"schedule {number}: {fault}" for fault in schedule.check()]
        for answer in schedule.answers().values():
            accepted += answer.is_ok()
            code = None if answer.is_ok() else answer.unwrap_err().code
            conflicts += code is ResultCode.EDIT_CONFLICT
            refused += code is ResultCode.STORE_UNAVAILABLE
        asked_again += sum(client.asked_again for client in schedule.clients)
    return EditRaceReport(schedules, accepted, conflicts, refused, asked_again, tuple(faults))


class _Schedule:
    """One seeded run of concurrent editors with randomly drawn store faults."""

    def __init__(self, seed: int) -> None:
        rng = Random(seed)
        max_probability = rng.choice((0.02, 0.1, 0.25))
        faults = StoreFaults(
            max_delay=rng.choice((0.01, 0.2)),
            lost_request=max_probability * rng.random(),
            lost_reply=max_probability * rng.random(),
            late=max_probability * rng.random(),
            late_seconds=rng.uniform(0.1, 60.0),
            unanswered=max_probability * rng.random(),
        )
        self._time = VirtualTime()
        self._service = StoreService(self._time, rng, faults)
        self.clients = [
            _Client(f"op{index}", self._service, Random(rng.random())) for index in range(CLIENTS)
        ]

    def run(self) -> None:
        for client in self.clients:
            client.schedule_next_edit()
        while self._time.next_due() is not None and self._time.now() < MAX_RUN_SECONDS:
            self._time.run_until(self._time.now() + 60.0)

    def answers(self) -> dict[str, Result[EditAccepted, Failure]]:
        return {
            change_id: answer
            for client in self.clients
            for change_id, answer in client.answers.items()
        }

    def check(self) -> list[str]:
        if not all(client.finished for client in self.clients):
            return ["a client did not learn the outcome of all its edits"]
        history = self._history()
        faults = _check_answers(self.answers(), history)
        faults += _check_continuity(history)
        faults += _check_overwrites(self._edits(), history)
        return faults + self._check_rows(history)

    def _edits(self) -> dict[str, Edit]:
        return {key: edit for client in self.clients for key, edit in client.edits.items()}

    def _history(self) -> list[CatalogueChange]:
        rows = self._service.data.scan(LOG_TABLE, "history/", MAX_HISTORY_ROWS)
        return [decode_change(row.value).unwrap() for row in rows]

    def _check_rows(self, history: list[CatalogueChange]) -> list[str]:
        self._service.faults = StoreFaults()
        loaded: list[Result[StoredCatalogue, Failure]] = []
        CatalogueStore(ExperimentTableStore(self._service)).load(loaded.append)
        self._time.run_until(self._time.now() + 60.0)
        replayed = apply_changes(Catalogue(), tuple(history))
        if replayed != loaded[0].map(lambda stored: stored.catalogue):
            return ["the stored rows differ from the replayed history"]
        return []


def _check_answers(
    answers: dict[str, Result[EditAccepted, Failure]], history: list[CatalogueChange]
) -> list[str]:
    faults = []
    for change_id, answer in answers.items():
        revisions = [each.revision for each in history if each.change_id == change_id]
        reported = [answer.ok_value.revision] if isinstance(answer, Ok) else []
        if revisions != reported:
            faults.append(f"{change_id} has revisions {revisions} in the history but got {answer}")
    if unknown := {each.change_id for each in history} - answers.keys():
        faults.append(f"changes in the history that no client submitted: {sorted(unknown)}")
    return faults


def _check_continuity(history: list[CatalogueChange]) -> list[str]:
    faults = []
    catalogue = Catalogue()
    for change in history:
        values = values_by_row_name(catalogue)
        if any(values.get(row.name) != row.before for row in change.rows):
            faults.append(
                f"revision {change.revision} does not start from the rows of the one before"
            )
        after = apply_changes(catalogue, (change,))
        if not isinstance(after, Ok):
            return [*faults, f"gap in the history before revision {change.revision}"]
        catalogue = after.ok_value
    return faults


def _check_overwrites(edits: dict[str, Edit], history: list[CatalogueChange]) -> list[str]:
    faults = []
    last_revisions: dict[RowName, tuple[int, bool]] = {}
    for change in history:
        row_edits = edits[change.change_id].rows if change.change_id in edits else ()
        for row in row_edits:
            revision, present = last_revisions.get(row.name, (0, False))
            if row.seen != (revision if present else 0):
                faults.append(
                    f"{change.change_id} overwrote revision {revision} without having read it"
                )
        for row in change.rows:
            last_revisions[row.name] = (change.revision, row.after is not None)
    return faults
