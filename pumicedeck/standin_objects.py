"""In-process stand-in for the platform's object store."""

from result import Err, Ok, Result

from pumicedeck.clocks import TimerQueue
from pumicedeck.faults import FaultSwitches, StandIn
from pumicedeck.platform_interfaces import ObjectStore, ResultCallback, adapter
from pumicedeck.results import Failure, ResultCode

_DOWN = Failure(ResultCode.STORE_UNAVAILABLE, "the object store is down")
_GET_LOST = Failure(ResultCode.STORE_UNAVAILABLE, "the reply to a get was lost")
_PUT_LOST = Failure(ResultCode.STORE_OUTCOME_UNKNOWN, "the reply to a put was lost")


@adapter("ObjectStore", "standin")
class StandinObjectStore(StandIn, ObjectStore):
    """An object store in memory; several clients may share one `objects`."""

    def __init__(
        self,
        timers: TimerQueue,
        faults: FaultSwitches | None = None,
        objects: dict[str, bytes] | None = None,
    ) -> None:
        """Serve `objects`, by default an empty store."""
        super().__init__(timers, faults)
        self.objects = {} if objects is None else objects

    def get(self, name: str, done: ResultCallback[bytes]) -> None:
        """Read an object; NOT_FOUND if there is none."""
        self._serve("get", lambda: self._get_object(name), done, _DOWN, _GET_LOST)

    def put(self, name: str, data: bytes, done: ResultCallback[None]) -> None:
        """Write an object."""
        self._serve("put", lambda: self._put_object(name, data), done, _DOWN, _PUT_LOST)

    def _get_object(self, name: str) -> Result[bytes, Failure]:
        if name not in self.objects:
            return Err(Failure(ResultCode.NOT_FOUND, name))
        return Ok(self.objects[name])

    def _put_object(self, name: str, data: bytes) -> Result[None, Failure]:
        self.objects[name] = data
        return Ok(None)
