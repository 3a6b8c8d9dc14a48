"""Kernel of a process: a bus, and components that register themselves on it."""

import threading
from collections.abc import Callable
from typing import Any, TypeVar

from cherrypy.process.plugins import SimplePlugin
from cherrypy.process.wspbus import Bus

from damaskdyke.conf.daemon import DaemonSettings
from damaskdyke.core.clock import Clock
from damaskdyke.core.ids import BootId
from damaskdyke.core.registry import Registry
from damaskdyke.utils.randomness import draw_boot_id


class Component(SimplePlugin):
    """Part of a process that starts and stops with the kernel.

    Subclasses override :meth:`start` and :meth:`stop`, and file themselves with
    ``@components.register(name)``. A component may ask the kernel for the ones that
    were registered before it.

    Parameters
    ----------
    kernel : Kernel
        Owner of the component.
    """

    def __init__(self, kernel: "Kernel"):
        super().__init__(kernel.bus)
        self.kernel = kernel

    def start(self) -> None:
        """Begin work. Called in the order of registration."""

    def stop(self) -> None:
        """End work and release what is owned. Called in reverse order."""


ComponentType = TypeVar("ComponentType", bound=Component)

components: Registry[type[Component]] = Registry("component")


class Kernel:
    """Owner of the bus, the clock and every component of one process.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the process.
    clock : Clock
        Source of time for every component.
    """

    def __init__(self, settings: DaemonSettings, clock: Clock):
        self.settings = settings
        self.clock = clock
        self.boot: BootId = draw_boot_id()
        self.bus = Bus()
        self._components: dict[type, Component] = {}
        self._stopping = threading.Event()

    def add_registered(self) -> None:
        """Create every component of the registry, in order."""
        for _, kind in components:
            self.add(kind)

    def add(self, kind: type[ComponentType]) -> ComponentType:
        """Create one component and file it under its class."""
        component = kind(self)
        self._components[kind] = component
        return component

    def get(self, kind: type[ComponentType]) -> ComponentType:
        """Return the component of a class.

        Raises
        ------
        KeyError
            If the component has not been created.
        """
        return self._components[kind]

    @property
    def is_stopping(self) -> bool:
        """Return whether the process has been told to end."""
        return self._stopping.is_set()

    def wait(self, duration_ms: int) -> bool:
        """Block for a duration or until the end; return whether it is the end."""
        return self._stopping.wait(duration_ms / 1000)

    def spawn(self, name: str, target: Callable[..., Any], *args: Any) -> None:
        """Run ``target`` in a thread of its own."""
        thread = threading.Thread(target=target, args=args, name=name, daemon=True)
        thread.start()

    def __enter__(self) -> "Kernel":
        started = []
        try:
            for component in self._components.values():
                component.start()
                started.append(component)
        except Exception:
            self._stop(started)
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self._stop(list(self._components.values()))

    def _stop(self, started: list[Component]) -> None:
        self._stopping.set()
        for component in reversed(started):
            component.stop()
