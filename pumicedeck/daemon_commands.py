"""Runs an entry, an agent or the stand-in servers as the only daemon of a process."""

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

from loguru import logger
from result import Err, Ok, Result

from pumicedeck.allocators import return_large_blocks_when_freed
from pumicedeck.composition import (
    EventLoop,
    WiredDaemon,
    build_agent,
    build_entry,
    connect_endpoint,
    connect_platform,
)
from pumicedeck.logs import set_up_logs
from pumicedeck.processes import Process
from pumicedeck.results import Failure, ResultCode
from pumicedeck.settings import AgentSettings, EntrySettings, ProcessSettings
from pumicedeck.settings_files import load_settings
from pumicedeck.standin_hosts import StandinApplication
from pumicedeck.standin_settings import (
    TABLE_STORE_NAME,
    load_initial_transaction,
    load_standin_settings,
)

_log = logger.bind(module="daemon_commands")

IN_PROCESS_ADAPTER = "standin"

T = TypeVar("T", bound=ProcessSettings)


def run_entry(path: Path) -> Result[None, Failure]:
    """Run an entry until it has drained; the failure is BAD_SETTINGS."""
    settings = _load(EntrySettings, path)
    if isinstance(settings, Err):
        return settings
    process, loop = _create_process(settings.ok_value)
    platform = connect_platform(settings.ok_value, loop)
    return _run(process, lambda: build_entry(settings.ok_value, loop, platform, process.finish))


def run_agent(path: Path) -> Result[None, Failure]:
    """Run an agent until it has drained; the failure is BAD_SETTINGS."""
    settings = _load(AgentSettings, path)
    if isinstance(settings, Err):
        return settings
    process, loop = _create_process(settings.ok_value)
    platform = connect_platform(settings.ok_value, loop)
    endpoint = connect_endpoint(settings.ok_value, loop)
    return _run(
        process, lambda: build_agent(settings.ok_value, loop, platform, endpoint, process.finish)
    )


def run_standin_servers(path: Path) -> Result[None, Failure]:
    """Run the stand-ins that a settings file lists until the process receives a signal."""
    settings = load_standin_settings(path)
    if isinstance(settings, Err):
        return settings
    initial_transaction = load_initial_transaction(path, settings.ok_value)
    if isinstance(initial_transaction, Err):
        return initial_transaction
    set_up_logs("standins", "INFO", "text")
    try:
        application = StandinApplication(settings.ok_value.host_settings())
    except OSError as error:
        return Err(Failure(ResultCode.BAD_SETTINGS, f"cannot listen: {error}"))
    application.host.find(TABLE_STORE_NAME).commit(initial_transaction.ok_value, lambda _: None)
    for bound in application.host.bound:
        _log.info("stand-in listening", name=bound.name, address=str(bound.address))
    application.run()
    return Ok(None)


def _load(cls: type[T], path: Path) -> Result[T, Failure]:
    settings = load_settings(cls, path)
    if isinstance(settings, Err):
        return settings
    return _reject_in_process_adapters(path, settings.ok_value).map(lambda _: settings.ok_value)


def _reject_in_process_adapters(path: Path, settings: ProcessSettings) -> Result[None, Failure]:
    """Refuse the `standin` adapters, which cannot reach anything outside this process."""
    platform_settings = settings.platform
    adapters_by_section = {
        "platform.table_store": platform_settings.table_store.adapter,
        "platform.object_store": platform_settings.object_store.adapter,
        "platform.weight_store": platform_settings.weight_store.adapter,
        "platform.vm_list": platform_settings.vm_list.adapter,
    }
    if isinstance(settings, AgentSettings):
        adapters_by_section["endpoint"] = settings.endpoint.adapter
    in_process_sections = [
        key for key, name in adapters_by_section.items() if name == IN_PROCESS_ADAPTER
    ]
    if not in_process_sections:
        return Ok(None)
    detail = (
        f"{path}: {in_process_sections[0]}.adapter: standin works only inside the demo's process"
    )
    return Err(Failure(ResultCode.BAD_SETTINGS, detail))


def _create_process(settings: ProcessSettings) -> tuple[Process, EventLoop]:
    set_up_logs(settings.vm, settings.log.level, settings.log.format)
    return_large_blocks_when_freed()
    process = Process()
    return process, EventLoop(process, process.timers)


def _run(process: Process, build_daemon: Callable[[], WiredDaemon]) -> Result[None, Failure]:
    try:
        daemon = build_daemon()
    except OSError as error:
        return Err(Failure(ResultCode.BAD_SETTINGS, f"cannot listen: {error}"))
    process.set_termination_callback(daemon.drain)
    process.timers.call_later(0.0, daemon.start)
    process.run()
    daemon.close()
    _log.info("stopped")
    return Ok(None)
