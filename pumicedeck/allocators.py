"""Settings of the C library's memory allocator."""

import ctypes

from loguru import logger

from pumicedeck.http_messages import KIB, MIB

# Parameters of mallopt, from malloc.h.
_TRIM_THRESHOLD = -1
_MMAP_THRESHOLD = -3
_LARGE_BLOCK_BYTES = 256 * KIB
_KEPT_BYTES = MIB

_log = logger.bind(module="allocators")


def return_large_blocks_when_freed() -> None:
    """Let the allocator return memory to the system when a large block is freed.

    By default glibc raises its threshold up to 32 MiB once such blocks were freed, and then keeps
    twice as much for later: a process stays as large as the bodies that it once held.
    """
    library = ctypes.CDLL(None)
    if not hasattr(library, "mallopt"):
        _log.info("the C library has no mallopt; freed memory may be kept")
        return
    library.mallopt(_MMAP_THRESHOLD, _LARGE_BLOCK_BYTES)
    library.mallopt(_TRIM_THRESHOLD, _KEPT_BYTES)
