"""A gateway whose configuration has client accounts, and what its endpoints receive."""

from pumicedeck.tests.test_gateways import ID, GatewayFixture, route

ACCOUNT = "x-pumicedeck-tenant"
KEYS = {"acme": ("key-a1", "key-a2"), "bolt": ("key-b1",)}


def bearer(key):
    return ("Authorization", f"Bearer {key}")


def tenants(**keys):
    return [{"name": name, "api-keys": list(each)} for name, each in keys.items()]


class AccountFixture(GatewayFixture):
    """Has the accounts `KEYS`, a route of each kind, and a public one under `/open`."""

    def __init__(self, metrics_port=0):
        super().__init__(metrics_port)
        self.version = 1
        self.set_accounts(**KEYS)

    def set_accounts(self, **keys):
        """Configure accounts by name with their keys; without any, remove the accounts."""
        self.version += 1
        document = {
            "version": self.version,
            "routes": [
                route("safe", "idempotent"),
                route("once", "non_idempotent"),
                route("stream", "streaming", resumable=True),
                route("drafts", "rollout", **{"due-ms": 7500, "max-wait-s": 12}),
                route("open", "idempotent", public=True),
            ],
            "services": [],
        }
        if keys:
            document["tenants"] = tenants(**keys)
        self.put("op", "config", document)
        self.loop.until(lambda: self.gateway.routes.version == self.version)

    def ask_with(self, key, method, target, body=b"", headers=ID, until=b"\r\n\r\n"):
        """Send a request with a key, without one if it is None."""
        own = () if key is None else (bearer(key),)
        return self.ask(method, target, body, (*headers, *own), until)

    def status(self, key, method="GET", target="/safe/x", **arguments):
        answer = self.ask_with(key, method, target, **arguments)
        return int(answer.split()[1])

    def received(self):
        """Return all calls that endpoints received, and forget them."""
        calls = [call for endpoint in self.endpoints for call in endpoint.calls]
        for endpoint in self.endpoints:
            endpoint.calls.clear()
        return calls

    def received_accounts(self):
        """Return the accounts of the calls that endpoints received; none of them has a key."""
        calls = self.received()
        assert all("key-" not in str(call.headers) for call in calls)
        assert all(not call.header("authorization") for call in calls)
        named = [[value for name, value in c.headers if name.lower() == ACCOUNT] for c in calls]
        assert all(len(each) <= 1 for each in named)
        return [each[0] if each else None for each in named]
