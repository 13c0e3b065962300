"""Identifies a request that comes again: the same request under another id; free of I/O."""

import hashlib

from pumicedeck.dialects import ForwardedCall

FINGERPRINT_BYTES = 12
# Two callers may send the same path and body; what they prove themselves with tells them apart.
CREDENTIAL_HEADERS = frozenset(("authorization", "cookie", "x-api-key"))


def fingerprint_request(call: ForwardedCall) -> str:
    """Return the same text for each attempt at a request by the same caller."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    credentials = sorted(
        (name.lower(), value) for name, value in call.headers if name.lower() in CREDENTIAL_HEADERS
    )
    texts = [call.method, call.host.lower(), call.target]
    texts += [text for pair in credentials for text in pair]
    for part in [*(text.encode() for text in texts), call.body]:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
