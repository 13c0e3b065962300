"""Batch submissions, their items and results, and the rows in which the store keeps them."""

import base64
import json
import zlib
from dataclasses import dataclass, field

CHUNK_BYTES = 44_000
_COMPRESSION = 1


@dataclass(frozen=True, slots=True)
class RewardCall:
    """The request that scores an item's text."""

    request_id: str
    host: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Item:
    """One generation; `expected_length` is its sender's estimate of the output, 0 if unknown."""

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    group: str
    expected_length: float = 0.0
    reward: RewardCall | None = None


@dataclass(frozen=True, slots=True)
class SubmissionHead:
    """What every process keeps of a submission; `accepted` in seconds of the store's clock."""

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

    def encode(self) -> bytes:
        """Return the bytes of the row."""
        return json.dumps({name: getattr(self, name) for name in self.__slots__}).encode()


@dataclass(frozen=True, slots=True)
class Submission:
    """A whole submission."""

    head: SubmissionHead
    items: tuple[Item, ...]

    def find(self, item_id: str) -> Item | None:
        """Return an item by its id."""
        return next((item for item in self.items if item.item_id == item_id), None)


@dataclass(frozen=True, slots=True)
class ItemResult:
    """The end of an item; a result without `text` was given up."""

    item_id: str
    completed: bool
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""

    def document(self) -> dict:
        """Return a plain document."""
        return {
            "item_id": self.item_id,
            "completed": self.completed,
            "text": self.text,
            "versions": list(self.versions),
            "score": self.score,
        }


@dataclass(slots=True)
class Progress:
    """The part of a text that an item has so far; `whole` once the engine has ended it."""

    last_event: int = 0
    whole: bool = False
    parts: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)

    @property
    def text(self) -> str:
        """Return the data of all events in order."""
        return "\n".join(self.parts)

    def copy(self) -> "Progress":
        """Return a text that grows by itself."""
        return Progress(self.last_event, self.whole, list(self.parts), list(self.versions))

    def document(self) -> dict:
        """Return a plain document."""
        return {
            "last": self.last_event,
            "whole": self.whole,
            "parts": self.parts,
            "versions": self.versions,
        }


def decode_head(value: bytes) -> SubmissionHead:
    """Read a head row."""
    return SubmissionHead(**json.loads(value))


def encode_results(results: tuple[ItemResult, ...]) -> tuple[bytes, ...]:
    """Return the bytes of the rows that hold results; the first byte counts the rows."""
    document = json.dumps([each.document() for each in results]).encode()
    data = zlib.compress(document, _COMPRESSION)
    chunks = [data[at : at + CHUNK_BYTES] for at in range(0, len(data), CHUNK_BYTES)]
    return tuple(bytes((len(chunks),)) + chunk for chunk in chunks)


def decode_results(rows: list[bytes]) -> list[ItemResult]:
    """Read the rows of one write of results, in order."""
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
    """Return the bytes of a row of progress."""
    return zlib.compress(json.dumps(progress.document()).encode(), _COMPRESSION)


def decode_progress(value: bytes) -> Progress:
    """Read a row of progress."""
    document = json.loads(zlib.decompress(value))
    return Progress(document["last"], document["whole"], document["parts"], document["versions"])


def encode_items(items: tuple[Item, ...]) -> tuple[bytes, ...]:
    """Return the compressed items in chunks that fit a row."""
    documents = [
        {
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
        for item in items
    ]
    data = zlib.compress(json.dumps(documents).encode(), _COMPRESSION)
    return tuple(data[at : at + CHUNK_BYTES] for at in range(0, len(data), CHUNK_BYTES))


def decode_items(chunks: list[bytes]) -> tuple[Item, ...]:
    """Read the chunks of a submission's items."""
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
