"""Lookup of the workspace that holds a key."""

from collections.abc import Iterable

from damaskdyke.core.ids import WorkspaceName
from damaskdyke.workspaces.types import ApiKey, Workspace


class Directory:
    """Workspaces of one version of the configuration, by key and by name.

    A key that several workspaces list belongs to none of them: whichever were chosen,
    its callers could act for the other. Of several workspaces with one name the first
    counts.

    Parameters
    ----------
    workspaces : iterable of Workspace
        Valid workspaces, in the order of the configuration.

    Attributes
    ----------
    repeated_names : tuple of WorkspaceName
        Names of workspaces that were left out because an earlier one has the name.
    shared_key_count : int
        Number of keys that several workspaces list.
    priorities : frozenset of (int or None)
        Priorities of the workspaces, ``None`` for those without one.
    has_limits : bool
        Whether any workspace has a quota.
    """

    def __init__(self, workspaces: Iterable[Workspace]):
        self._by_name: dict[WorkspaceName, Workspace] = {}
        self._by_key: dict[ApiKey, Workspace] = {}
        repeated_names = []
        shared_keys = set()
        for workspace in workspaces:
            if workspace.name in self._by_name:
                repeated_names.append(workspace.name)
            else:
                self._by_name[workspace.name] = workspace
            for key in workspace.keys:
                holder = self._by_key.setdefault(key, workspace)
                if holder is not workspace:
                    shared_keys.add(key)
        for key in shared_keys:
            del self._by_key[key]
        listed = self._by_name
        self._by_key = {
            key: workspace
            for key, workspace in self._by_key.items()
            if listed[workspace.name] is workspace
        }
        self.repeated_names = tuple(repeated_names)
        self.shared_key_count = len(shared_keys)
        self.priorities = frozenset(item.priority for item in self._by_name.values())
        self.has_limits = any(
            item.rate_per_second > 0 for item in self._by_name.values()
        )

    def __len__(self) -> int:
        return len(self._by_name)

    def find_by_key(self, key: ApiKey) -> Workspace | None:
        """Return the workspace that holds a key, ``None`` for an unknown key."""
        return self._by_key.get(key)

    def find(self, name: WorkspaceName) -> Workspace | None:
        """Return the workspace with a name."""
        return self._by_name.get(name)

    def list_all(self) -> tuple[Workspace, ...]:
        """Return all workspaces in the order of the configuration."""
        return tuple(self._by_name.values())
