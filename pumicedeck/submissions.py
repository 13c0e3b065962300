"""Batch submissions with their items and results, and the encoding of their rows in the store."""

import base64
import json
import zlib
from dataclasses import dataclass, field

from pumicedeck.accounts.identities import account_field
from pumicedeck.json_documents import MAX_INTEGER, read_integer, read_number, read_text

CHUNK_BYTES = 44_000
_COMPRESSION_LEVEL = 1
_HEAD_FIELD_READERS = {
    str: read_text,
    int: lambda document, name: read_integer(document, name, -MAX_INTEGER),
    float: read_number,
}


@dataclass(frozen=True, slots=True)
class RewardCall:
    """The request that scores an item's complete output; `path` may have a query."""

    request_id: str
    host: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Item:
    """One generation request of a submission.

    `expected_length` is the submitter's estimate of the output's length, 0 if unknown, in a unit of
    the submitter's, such as tokens.
    `reward` is None for an item that is not scored.
    """

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    group: str
    expected_length: float = 0.0
    reward: RewardCall | None = None


@dataclass(frozen=True, slots=True)
class SubmissionHead:
    """The part of a submission that every process has in memory.

    `total` counts the items and `chunks` the rows that they fill. `min_version` is the oldest
    weight version allowed. `wanted_groups` is how many groups the step needs, 0 for all. `accepted`
    is in seconds on the store's clock. `account` names the client account that the submission
    belongs to, empty if there is none.
    """

    submission_id: str
    route: str
    host: str
    model: str
    step: int
    min_version: int
    wanted_groups: int
    total: int
    chunks: int
    digest: str
    accepted: float
    account: str = ""

    def encode(self) -> bytes:
        """Return the value of the head row as JSON, without an empty `account`."""
        document = {name: getattr(self, name) for name in self.__slots__}
        if not self.account:
            del document["account"]
        return json.dumps(document).encode()

    @property
    def host_name(self) -> str:
        """Return the host at which it was submitted in lower case, without a port."""
        return self.host.partition(":")[0].lower()

    @property
    def log_fields(self) -> dict[str, str]:
        """Return the submission's id and account as fields of log lines."""
        return {"submission": self.submission_id, **account_field(self.account)}

    def admits(self, account: str | None) -> bool:
        """Return whether an account may read and end the submission.

        One without an account is open to all; `account` is None if no accounts are configured.
        """
        return account is None or not self.account or self.account == account


@dataclass(frozen=True, slots=True)
class Submission:
    """A submission with all its items."""

    head: SubmissionHead
    items: tuple[Item, ...]

    def find(self, item_id: str) -> Item | None:
        """Return an item by its id, None if there is none."""
        return next((item for item in self.items if item.item_id == item_id), None)


@dataclass(frozen=True, slots=True)
class ItemResult:
    """The result of an item; an item that was given up is not `completed` and has no `text`.

    `versions` are the weight versions that generated the text.
    """

    item_id: str
    completed: bool
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""

    def document(self) -> dict:
        """Return the result as a document that JSON can represent."""
        return {
            "item_id": self.item_id,
            "completed": self.completed,
            "text": self.text,
            "versions": list(self.versions),
            "score": self.score,
        }


@dataclass(slots=True)
class Progress:
    """The output of an item so far; `whole` once the engine has completed it.

    `last_event` is the number of the last event, `parts` has the data of each event, and `versions`
    the weight versions in the order in which they first occurred. `software` is the software
    version of the engine that began the output; only engines that run the same may continue it.
    """

    last_event: int = 0
    whole: bool = False
    parts: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    software: str = ""

    @property
    def text(self) -> str:
        """Return the data of all events in order, joined by line breaks."""
        return "\n".join(self.parts)

    def copy(self) -> "Progress":
        """Return an independent copy."""
        return Progress(
            self.last_event, self.whole, list(self.parts), list(self.versions), self.software
        )

    def document(self) -> dict:
        """Return the progress as a document that JSON can represent."""
        return {
            "last": self.last_event,
            "whole": self.whole,
            "parts": self.parts,
            "versions": self.versions,
            "software": self.software,
        }


def decode_head(value: bytes) -> SubmissionHead:
    """Decode the value of a head row.

    Raises InvalidFieldError if a field has another type: the scheduler computes with all heads.
    """
    document = json.loads(value)
    for name, kind in SubmissionHead.__annotations__.items():
        if name in document:
            _HEAD_FIELD_READERS[kind](document, name)
    return SubmissionHead(**document)


def encode_results(results: tuple[ItemResult, ...]) -> tuple[bytes, ...]:
    """Encode one write of results as row values; the first byte of each is the number of rows."""
    document = json.dumps([each.document() for each in results]).encode()
    data = zlib.compress(document, _COMPRESSION_LEVEL)
    chunks = [data[at : at + CHUNK_BYTES] for at in range(0, len(data), CHUNK_BYTES)]
    return tuple(bytes((len(chunks),)) + chunk for chunk in chunks)


def decode_results(rows: list[bytes]) -> list[ItemResult]:
    """Decode the row values of one write of results, given in order."""
    return [
        ItemResult(
            each["item_id"],
            each["completed"],
            each["text"],
            tuple(each["versions"]),
            each["score"],
        )
        for each in json.loads(zlib.decompress(b"".join(row[1:] for row in rows)))
    ]


def encode_progress(progress: Progress) -> bytes:
    """Encode the value of a progress row."""
    return zlib.compress(json.dumps(progress.document()).encode(), _COMPRESSION_LEVEL)


def decode_progress(value: bytes) -> Progress:
    """Decode the value of a progress row.

    A partial output without a software version, as earlier releases wrote it, cannot be continued:
    the result is an empty output.
    """
    document = json.loads(zlib.decompress(value))
    software = document.get("software")
    if software is None and not document["whole"]:
        return Progress()
    return Progress(
        document["last"],
        document["whole"],
        document["parts"],
        document["versions"],
        software or "",
    )


def encode_items(items: tuple[Item, ...]) -> tuple[bytes, ...]:
    """Encode items as compressed chunks of at most `CHUNK_BYTES`, each of which fits a row."""
    # Item by item: the text of all of them would be held several times over.
    compressor = zlib.compressobj(_COMPRESSION_LEVEL)
    data = bytearray()
    for number, item in enumerate(items):
        text = json.dumps(_item_document(item))
        data += compressor.compress(f"{', ' if number else '['}{text}".encode())
    data += compressor.compress(b"]" if items else b"[]")
    data += compressor.flush()
    return tuple(bytes(data[at : at + CHUNK_BYTES]) for at in range(0, len(data), CHUNK_BYTES))


def _item_document(item: Item) -> dict:
    return {
        "id": item.item_id,
        "path": item.path,
        "headers": item.headers,
        "body": base64.b64encode(item.body).decode(),
        "group": item.group,
        "length": item.expected_length,
        "reward": item.reward
        and {
            "id": item.reward.request_id,
            "host": item.reward.host,
            "path": item.reward.path,
            "body": base64.b64encode(item.reward.body).decode(),
        },
    }


def decode_items(chunks: list[bytes]) -> tuple[Item, ...]:
    """Decode the chunks of a submission's items, given in order."""
    documents = json.loads(zlib.decompress(b"".join(chunks)))
    return tuple(
        Item(
            each["id"],
            each["path"],
            tuple((name, value) for name, value in each["headers"]),
            base64.b64decode(each["body"]),
            each["group"],
            each["length"],
            (
                RewardCall(
                    each["reward"]["id"],
                    each["reward"]["host"],
                    each["reward"]["path"],
                    base64.b64decode(each["reward"]["body"]),
                )
                if each["reward"]
                else None
            ),
        )
        for each in documents
    )
