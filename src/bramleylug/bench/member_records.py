"""Builds membership records as large as those of a real fleet."""

from bramleylug.wire.membership_pb2 import HeldVersion, Member, ServiceState

ZONES = 9
REGIONS = 4
SERVICES = 20
UDP_IP_HEADER_BYTES = 28
DIGEST_HEX_BYTES = 64


def build_records(entries: int, agents: int) -> tuple[Member, ...]:
    """Return the records of a fleet, entries first."""
    members = [build_agent_record(number) for number in range(entries + agents)]
    for record in members[:entries]:
        record.role = 'entry'
        del record.services[:]
        del record.versions[:]
    return tuple(members)


def build_agent_record(number: int) -> Member:
    """Return the record of an agent with the fields of a ready one filled."""
    address = f'10.{number // 65536}.{number // 256 % 256}.{number % 256}'
    return Member(
        name=f'agent-{number:05}',
        incarnation=1_700_000_000_000 + number,
        role='agent',
        zone=f'zone-{number % ZONES}',
        region=f'region-{number % REGIONS}',
        gossip_address=f'{address}:7946',
        grpc_address=f'{address}:7443',
        http_address=f'{address}:8080',
        revision=100_000,
        services=[
            ServiceState(
                service=f'service-{number % SERVICES}',
                digest='d' * DIGEST_HEX_BYTES,
                ready=True,
                limit=16,
                running=8,
            )
        ],
        versions=[
            HeldVersion(
                model=f'model-{number % SERVICES}', version='1', progress=1000
            )
        ],
        sequence=number,
        revision_since_s=1_700_000_000,
    )
