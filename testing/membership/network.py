"""Virtual network of members that are created from names."""

from collections.abc import Collection

from bramleylug.bench.virtual_network import VirtualNetwork
from bramleylug.membership.gossip import Membership
from bramleylug.membership.records import is_gone
from testing.builders import build_member


class Network(VirtualNetwork):
    """Network whose members are addressed by name."""

    def __init__(self, names: Collection[str], seed: int = 1) -> None:
        super().__init__(seed)
        for name in names:
            self.add(build_member(name))

    def get(self, name: str) -> Membership:
        return self.members[f'{name}:1']

    def views(self) -> list[set[str]]:
        """Return the names that each running member considers alive."""
        return [
            {record.name for record in member.alive()}
            for address, member in self.members.items()
            if address not in self.paused
        ]

    def held_gone(self, name: str) -> int:
        """Return how many members consider a member to have left or died."""
        return sum(
            name in member.members and is_gone(member.members[name])
            for member in self.members.values()
        )
