"""Processes on virtual time whose store is a model."""

import asyncio
from contextlib import asynccontextmanager
from typing import Any

from bramleylug.cluster.process import ProcessCore
from bramleylug.node.process_pauses import watch_pauses
from bramleylug.platform.adapter import PlatformAdapter
from testing.store.model_store import ModelStore, StoreLink


def build_adapter(store: ModelStore) -> PlatformAdapter:
    """Return an adapter whose store is a model."""
    adapter = PlatformAdapter('127.0.0.1:1')
    adapter.store = StoreLink(store)
    return adapter


@asynccontextmanager
async def running(core: ProcessCore, *others: Any) -> Any:
    """Run the tasks of a process that read the store, and others."""
    tasks = [
        *(asyncio.create_task(other) for other in others),
        asyncio.create_task(watch_pauses(core.pauses, core.clock)),
        *(asyncio.create_task(watcher.run()) for watcher in core.watchers),
    ]
    try:
        yield
    finally:
        await stop(core, tasks)


async def stop(core: ProcessCore, tasks: list[asyncio.Task[None]]) -> None:
    """End the tasks; close the loop, which holds descriptors till then."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    core.loop.loop.close()
