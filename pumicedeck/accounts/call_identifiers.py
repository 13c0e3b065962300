"""Gives callers' requests the account of their key; free of I/O."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from pumicedeck.accounts.identities import AccountTable, Identity
from pumicedeck.dialects import CallerDialect, ForwardedCall
from pumicedeck.results import Failure
from pumicedeck.route_tables import Route, RouteKind, RouteTable


@dataclass(frozen=True, slots=True)
class SubmissionReader:
    """Who asks about a submission.

    `account` is the name of the account, empty if there is none, and None if no accounts are
    configured: then everything may be read. `failure` is why a request that names no account may
    read only submissions without an account. With `searches_store` such a submission may be one
    that this gateway does not know of yet; otherwise the request is refused at once.
    """

    account: str | None = None
    failure: Failure | None = None
    searches_store: bool = True


class CallIdentifier:
    """Identifies requests by the accounts of the installed configuration."""

    def __init__(
        self,
        dialect: CallerDialect,
        configuration_age_seconds: Callable[[], float],
        identity: Identity | None = None,
    ) -> None:
        """Read keys with `dialect`.

        `configuration_age_seconds` returns the time since the store confirmed the configuration.
        """
        self._dialect = dialect
        self._configuration_age_seconds = configuration_age_seconds
        self._identity = identity or Identity()

    def identify(
        self, call: ForwardedCall, accounts: AccountTable | None, route: Route
    ) -> Result[tuple[ForwardedCall, Route], Failure]:
        """Return the call without its key and with its account, and the route with its priority.

        Both are unchanged if no accounts are configured. Fails as `Identity.identify` does.
        """
        if accounts is None:
            return Ok((call, route))
        key = self._dialect.account_key(call)
        age = self._configuration_age_seconds()
        identified = self._identity.identify(accounts, key, route.is_public, age)
        if isinstance(identified, Err):
            return identified
        account = identified.ok_value
        if account is not None and account.priority is not None:
            route = replace(route, priority=account.priority)
        return Ok((self._dialect.with_account(call, account.name if account else ""), route))

    def identify_reader(
        self, call: ForwardedCall, routes: RouteTable, host: str
    ) -> tuple[ForwardedCall, SubmissionReader]:
        """Return the call with its account, and who asks about a submission at a host.

        The submission's route is not known. So a request without an account is admitted to
        submissions without one: those accepted on a public route or before accounts were
        configured.
        """
        accounts = routes.accounts
        if accounts is None:
            return call, SubmissionReader()
        key = self._dialect.account_key(call)
        age = self._configuration_age_seconds()
        identified = self._identity.identify(accounts, key, False, age)
        if isinstance(identified, Ok):
            name = identified.ok_value.name
            return self._dialect.with_account(call, name), SubmissionReader(name)
        is_public = any(
            route.kind is RouteKind.SUBMISSION and route.is_public and route.host.lower() == host
            for route in routes.routes
        )
        # On a public route nobody needs a key; one that is not known may be known elsewhere.
        failure = None if is_public and not key else identified.err_value
        return self._dialect.with_account(call, ""), SubmissionReader("", failure, is_public)
