"""Membership: all tables converge on the latest updates, in any order of arrival."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from siskinlever._internal.membership.members import Member, MemberState, MemberTable

HOSTS = ("host-a", "host-b", "host-c", "host-d")
host_names = st.sampled_from(HOSTS)
RESTART_STEP = 1_000
MAX_ROUNDS = 10


def alive(host, incarnation):
    return Member(host, f"zone-{host}", incarnation, MemberState.ALIVE, "", "")


class MembershipMachine(RuleBasedStateMachine):
    """Hosts exchange updates in messages that may be delayed, repeated or lost."""

    def __init__(self):
        super().__init__()
        self.clock = 1
        self.table_by_host = {}
        self.rank_by_pair = {}
        self.sent = []
        for host in HOSTS:
            self.table_by_host[host] = MemberTable(alive(host, 1))
        for table in self.table_by_host.values():
            for host in HOSTS:
                table.merge(alive(host, 1))

    @rule(sender=host_names, subject=host_names)
    def send(self, sender, subject):
        member = self.table_by_host[sender].by_host.get(subject)
        if member is not None:
            self.sent.append(member)

    @rule(data=st.data(), receiver=host_names)
    @precondition(lambda self: self.sent)
    def receive(self, data, receiver):
        """Deliver a sent message.

        It stays in ``sent``, so it may arrive late, repeatedly or never.
        """
        update = data.draw(st.sampled_from(self.sent))
        self.table_by_host[receiver].merge(update)

    @rule(observer=host_names, subject=host_names, dead=st.booleans())
    def suspect(self, observer, subject, dead):
        if observer != subject:
            state = MemberState.DEAD if dead else MemberState.SUSPECT
            self.table_by_host[observer].set_state(subject, state)

    @rule(holder=host_names, subject=host_names)
    def mark_leaving(self, holder, subject):
        self.table_by_host[holder].set_leaving(subject)

    @rule(host=host_names)
    def restart(self, host):
        self.clock += RESTART_STEP
        self.table_by_host[host] = MemberTable(alive(host, self.clock))
        for pair in [p for p in self.rank_by_pair if p[0] == host]:
            del self.rank_by_pair[pair]

    @invariant()
    def rank_never_decreases(self):
        for owner, table in self.table_by_host.items():
            assert table.own.state is MemberState.ALIVE
            for host, member in table.by_host.items():
                before = self.rank_by_pair.get((owner, host), (0,))
                assert member.rank >= before
                self.rank_by_pair[owner, host] = member.rank

    def teardown(self):
        """Without further losses, all tables agree and every running host is alive."""
        for _ in range(MAX_ROUNDS):
            for sender in self.table_by_host.values():
                for receiver in self.table_by_host.values():
                    for member in list(sender.by_host.values()):
                        receiver.merge(replace(member))
        views = [table.by_host for table in self.table_by_host.values()]
        assert all(view == views[0] for view in views)
        assert all(m.state is MemberState.ALIVE for m in views[0].values())
        assert set(views[0]) == set(HOSTS)


TestMembership = MembershipMachine.TestCase
