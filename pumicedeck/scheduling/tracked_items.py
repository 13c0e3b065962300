"""A dictionary that knows which of its keys came, were replaced or left; free of I/O."""

from typing import TypeVar

V = TypeVar("V")


class TrackedItems(dict[str, V]):
    """Items by id, with the ids of those that changed since `take_changes` was called last."""

    def __init__(self) -> None:
        """Create an empty dictionary without changes."""
        super().__init__()
        self._changed: dict[str, None] = {}

    @property
    def has_changes(self) -> bool:
        """Return whether there are changes that `take_changes` has not returned yet."""
        return bool(self._changed)

    def __setitem__(self, key: str, value: V) -> None:
        """Set an item and note its id as the last one that changed."""
        super().__setitem__(key, value)
        self._changed.pop(key, None)
        self._changed[key] = None

    def __delitem__(self, key: str) -> None:
        """Remove an item and note its id."""
        super().__delitem__(key)
        self._changed[key] = None

    def pop(self, key: str, *default: V) -> V:
        """Remove an item, note its id, and return it, or `default` if it is not there."""
        if key in self:
            self._changed[key] = None
        return super().pop(key, *default)

    def mark_all(self) -> None:
        """Note all items as changed, in their order."""
        for key in self:
            self._changed.pop(key, None)
            self._changed[key] = None

    def take_changes(self, limit: int) -> list[str]:
        """Return up to `limit` ids that changed, in the order of their last change."""
        if len(self._changed) <= limit:
            taken, self._changed = list(self._changed), {}
            return taken
        taken = [key for key, _ in zip(self._changed, range(limit), strict=False)]
        for key in taken:
            del self._changed[key]
        return taken
