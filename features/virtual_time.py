"""An event loop in virtual time: nothing waits, and its clock jumps to the next timer."""

import asyncio

import anyio


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        super().__init__()
        self._now = 0.0

    def time(self):
        return self._now

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0].when())
        super()._run_once()


def run_in_virtual_time(script):
    """Run an async function; ``anyio.current_time`` is the clock."""
    return anyio.run(script, backend_options={"loop_factory": _VirtualTimeLoop})
