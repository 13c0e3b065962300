"""Decides which client account a request belongs to; free of I/O.

Handles keys that operators add, move and remove in quick succession, while gateways learn of it at
different times and some of them cannot reach the store.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from pumicedeck.results import Failure, ResultCode

_KEY_MISSING = Failure(ResultCode.KEY_REJECTED, "the request carries no key", None, True)
_KEY_UNKNOWN = Failure(ResultCode.KEY_REJECTED, "the key belongs to no account", None, True)
_KEY_UNVERIFIED = Failure(
    ResultCode.KEY_UNVERIFIED,
    "the key is unknown here, and may have been added since the configuration was last confirmed",
    None,
    True,
)


def account_field(name: str) -> dict[str, str]:
    """Return the name of an account as a field of log lines, nothing without an account."""
    return {"account": name} if name else {}


@dataclass(frozen=True, slots=True)
class Account:
    """A client account; `priority` replaces that of the route, None if the account has none."""

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class AccountTable:
    """The accounts of one configuration and their keys; no key is shown in `repr`.

    `key_conflicts` has the names of two accounts that list the same key, the owner first.
    """

    accounts: tuple[Account, ...]
    key_conflicts: tuple[tuple[str, str], ...] = ()
    _by_key: dict[str, Account] = field(default_factory=dict, repr=False)

    @classmethod
    def build(cls, entries: Iterable[tuple[Account, tuple[str, ...]]]) -> "AccountTable":
        """Return the table of accounts with their keys.

        A key that two accounts list belongs to the first one.
        """
        accounts: list[Account] = []
        by_key: dict[str, Account] = {}
        conflicts: dict[tuple[str, str], None] = {}
        for account, keys in entries:
            accounts.append(account)
            for key in keys:
                owner = by_key.setdefault(key, account)
                if owner.name != account.name:
                    conflicts[(owner.name, account.name)] = None
        return cls(tuple(accounts), tuple(conflicts), by_key)

    def find(self, key: str) -> Account | None:
        """Return the account that holds a key, None if no account does."""
        return self._by_key.get(key)


@dataclass(frozen=True, slots=True)
class Identity:
    """The decision which account a request belongs to, and whether it may run.

    The store answers the configuration's feed at least once a second, so that knowledge older than
    `max_configuration_age_seconds` shows that this gateway has lost touch with it.
    """

    max_configuration_age_seconds: float = 1.5

    def identify(
        self,
        table: AccountTable,
        key: str,
        route_is_public: bool,
        configuration_age_seconds: float,
    ) -> Result[Account | None, Failure]:
        """Return the account that holds `key`, None for any other request on a public route.

        `configuration_age_seconds` is the time since the store confirmed that `table` is of its
        newest configuration. KEY_REJECTED if the key is missing or unknown, KEY_UNVERIFIED if it is
        unknown and may have been added since.
        """
        account = table.find(key) if key else None
        if account is not None or route_is_public:
            return Ok(account)
        if not key:
            return Err(_KEY_MISSING)
        if configuration_age_seconds > self.max_configuration_age_seconds:
            return Err(_KEY_UNVERIFIED)
        return Err(_KEY_UNKNOWN)
