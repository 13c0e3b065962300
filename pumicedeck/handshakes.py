"""The messages and proofs with which two processes authenticate each other."""

import hmac
from dataclasses import dataclass
from hashlib import sha256

PROTOCOL_VERSION = 1
NONCE_BYTES = 16


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of either side; `proof` is empty in the dialing side's.

    An agent also names its endpoint; an entry leaves these fields empty.
    """

    protocol: int
    incarnation: str
    role: str
    failure_domain: str
    region: str
    nonce: bytes
    proof: bytes = b""
    endpoint: str = ""
    pool: str = ""
    kind: str = ""
    slots: int = 0


@dataclass(frozen=True, slots=True)
class Proof:
    """The dialing side's proof that it knows the shared secret."""

    proof: bytes


def compute_proof(secret: bytes, prover: Hello, verifier: Hello) -> bytes:
    """Return the HMAC-SHA-256 by which `prover` answers the nonce of `verifier`."""
    parts = (
        prover.role.encode(),
        prover.incarnation.encode(),
        prover.nonce,
        verifier.incarnation.encode(),
        verifier.nonce,
    )
    return hmac.new(secret, b"\0".join(parts), sha256).digest()


def is_valid_proof(
    secrets: tuple[bytes, ...], proof: bytes, prover: Hello, verifier: Hello
) -> bool:
    """Check a proof against every accepted secret, so that a secret can be rotated."""
    return any(
        hmac.compare_digest(proof, compute_proof(each, prover, verifier)) for each in secrets
    )
