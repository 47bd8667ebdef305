"""Marks the hosts that the declaration takes out of service as leaving."""

from __future__ import annotations

from ..configuration.current import Configuration, CurrentConfiguration
from ..models.ids import HostName
from .members import Member, MemberTable


class DeclaredLeaving:
    """Applies the declaration's ``leaving_hosts`` to the member table.

    When its name is removed from the declaration, this host accepts work again
    unless it is shutting down. If the host list marks it as leaving as well, the
    next read of the list marks it again.

    Parameters
    ----------
    members : MemberTable
    current : CurrentConfiguration
    """

    def __init__(self, members: MemberTable, current: CurrentConfiguration) -> None:
        self._members = members
        self._current = current
        self._own_declared = False
        self.stopping = False
        current.subscribe(self._on_configuration)
        members.subscribe(self._on_member_changed)

    def _on_configuration(self, configuration: Configuration) -> None:
        names = {host.name for host in configuration.declaration.leaving_hosts}
        for name in names:
            self._members.set_leaving(HostName(name))
        declared = self._members.own_host in names
        if self._own_declared and not declared and not self.stopping:
            self._members.clear_leaving()
        self._own_declared = declared

    def _on_member_changed(self, before: Member | None, after: Member) -> None:
        """Mark a host that became known after the declaration came into force."""
        declaration = self._current.declaration
        if before is not None or declaration is None:
            return
        if any(host.name == after.host for host in declaration.leaving_hosts):
            self._members.set_leaving(after.host)
