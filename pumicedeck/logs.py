"""Sets up structured logs: one JSON object or one text line a record, on standard error."""

import sys

from loguru import logger

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {extra[vm]} {message} {extra}"


def set_up_logs(vm: str, level: str, form: str) -> None:
    """Send records at or above `level` to standard error; `form` is json or text."""
    logger.remove()
    logger.configure(extra={"vm": vm, "module": ""})
    if form == "json":
        logger.add(sys.stderr, level=level, serialize=True, format="{message}")
    else:
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT)
