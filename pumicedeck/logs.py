"""Sets up structured logs: one JSON object or one text line a record."""

import json
import sys
import time
from collections.abc import Callable
from traceback import format_exception

from loguru import logger

from pumicedeck.log_budgets import LogBudget

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {extra[vm]} {message} {extra}"


def set_up_logs(vm: str, level: str, form: str) -> None:
    """Send records at or above `level` to standard error; `form` is json or text."""
    logger.remove()
    logger.configure(extra={"vm": vm, "module": ""})
    if form == "json":
        logger.add(sys.stderr, level=level, serialize=True, format="{message}")
    else:
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT)


def set_up_event_logs(vm: str, level: str, write: Callable[[str], None]) -> None:
    """Send each record as one short JSON object with its event, module and fields to `write`.

    Storms of one event are thinned; what was left out is told in a line of its own.
    """

    budget = LogBudget()

    def sink(message) -> None:
        record = message.record
        at, now = record["time"].timestamp(), time.monotonic()
        left_out = budget.report(now)
        if left_out:
            told = {"at": round(at, 3), "vm": vm, "event": "log lines left out", **left_out}
            write(json.dumps(told) + "\n")
        if not budget.admit(record["message"], now):
            return
        fields = dict(record["extra"])
        line = {
            "at": round(at, 3),
            "vm": vm,
            "level": record["level"].name,
            "module": fields.pop("module", ""),
            "event": record["message"],
            **fields,
        }
        if record["exception"] is not None:
            line["error"] = "".join(format_exception(*record["exception"]))
        write(json.dumps(line, default=str) + "\n")

    logger.remove()
    logger.configure(extra={"module": ""})
    logger.add(sink, level=level, format="{message}")
