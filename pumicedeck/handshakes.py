"""Handshake messages and proofs by which two processes authenticate each other."""

import hmac
from dataclasses import dataclass
from hashlib import sha256

PROTOCOL_VERSION = 1
NONCE_BYTES = 16


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of each side; the dialing side leaves `proof` empty.

    An agent also describes its endpoint (`endpoint`, `pool`, `kind`, `slots`); an entry VM leaves
    these fields empty.
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
    """Third message of a handshake: the dialing side proves that it knows the shared secret."""

    proof: bytes


def compute_proof(secret: bytes, prover: Hello, verifier: Hello) -> bytes:
    """Return the HMAC-SHA-256 that proves to `verifier` that `prover` knows `secret`."""
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
    """Return whether a proof matches one of `secrets`; several allow a secret to be rotated."""
    return any(
        hmac.compare_digest(proof, compute_proof(secret, prover, verifier)) for secret in secrets
    )
