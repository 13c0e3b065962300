"""Rows of the operators' table that come again, late or unreadable.

Guards against routes or weight versions that are replaced by older ones or by none.
"""

import json

from pumicedeck.operator_configurations import OperatorConfiguration
from pumicedeck.partitioned_stores import RowKey, StoredRow
from pumicedeck.platform.registrations import decode_operator_row


class Recorder:
    def __init__(self):
        self.installed, self.changes = [], 0
        self.configuration = OperatorConfiguration(
            decode_operator_row, self.installed.append, self.change, lambda: True
        )

    def change(self):
        self.changes += 1

    def apply(self, key, document):
        value = document if document is None else json.dumps(document).encode()
        row = StoredRow(RowKey("op", "", key), value, 1)
        self.configuration.apply((row,), False)


def test_routes_are_passed_on_and_wake_what_waits_for_them():
    recorder = Recorder()
    recorder.apply("config", {"version": 4, "routes": [], "services": []})
    assert [routes.version for routes in recorder.installed] == [4] and recorder.changes == 1
    for document in (None, [], {"version": "x"}):
        recorder.apply("config", document)
    recorder.apply("other", {"version": 5, "routes": [], "services": []})
    assert len(recorder.installed) == 1 and recorder.changes == 1


def test_only_a_newer_version_of_a_model_is_announced():
    recorder = Recorder()
    announced = recorder.configuration.announced_versions
    for version in (3, 2, 3, "x", None):
        recorder.apply("version/m0", {"model": "m0", "version": version})
    assert announced == {"m0": 3} and recorder.changes == 1
    recorder.apply("version/m0", {"model": "m0", "version": 4})
    assert announced == {"m0": 4} and recorder.changes == 2
