"""Identifies a request that comes again: the same request under another id; free of I/O."""

import hashlib

from pumicedeck.dialects import ForwardedCall

FINGERPRINT_BYTES = 12
# Two callers may send the same path and body; what they prove themselves with tells them apart.
CREDENTIAL_HEADERS = frozenset(("authorization", "cookie", "x-api-key"))
_KEY_HEADER = "authorization"
_ACCOUNT = "account"


def fingerprint_request(call: ForwardedCall) -> str:
    """Return the same text for each attempt at a request by the same caller.

    The name of a client account takes the place of its keys, so that a request which crashes
    endpoints is known when it comes with another key.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    credentials = [
        (name.lower(), value) for name, value in call.headers if name.lower() in CREDENTIAL_HEADERS
    ]
    if call.account:
        credentials = [pair for pair in credentials if pair[0] != _KEY_HEADER]
        credentials.append((_ACCOUNT, call.account))
    credentials.sort()
    texts = [call.method, call.host.lower(), call.target]
    texts += [text for pair in credentials for text in pair]
    for part in [*(text.encode() for text in texts), call.body]:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
