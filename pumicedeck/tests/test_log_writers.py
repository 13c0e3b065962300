"""Tests that logging does not block when the reader of the pipe stops reading."""

import fcntl
import json
import os

from loguru import logger

from pumicedeck.log_writers import BUFFER_BYTES, LogWriter
from pumicedeck.logs import set_up_event_logs

PIPE_BYTES = 4096


def test_a_reader_that_stops_reading_never_blocks_the_process():
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    log = LogWriter(writer)
    line = "x" * 1000 + "\n"
    for _ in range(2 * BUFFER_BYTES // len(line)):
        log.write(line)
    assert log.dropped > 0
    os.set_blocking(reader, False)
    received = bytearray()
    while True:
        try:
            data = os.read(reader, 65536)
        except BlockingIOError:
            log.write("last\n")
            if b"last\n" in received:
                break
            continue
        received += data
    assert b"log lines dropped" in received
    os.close(reader)
    log.write("nobody reads\n")
    os.close(writer)


def test_an_event_is_one_line_of_json_with_its_fields():
    lines = []
    set_up_event_logs("f1", "INFO", lines.append)
    try:
        logger.bind(module="m").info("refused", request="r1", waited=0.25)
        logger.bind(module="m").debug("not shown")
        try:
            raise ValueError("why")
        except ValueError:
            logger.bind(module="m").opt(exception=True).error("a task failed")
    finally:
        logger.remove()
    first, second = (json.loads(line) for line in lines)
    assert first["event"] == "refused" and first["request"] == "r1" and first["vm"] == "f1"
    assert first["waited"] == 0.25 and first["level"] == "INFO" and first["module"] == "m"
    assert "ValueError: why" in second["error"]
