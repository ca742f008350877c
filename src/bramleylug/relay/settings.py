"""Settings of the relay."""

from dataclasses import dataclass
from typing import final

from bramleylug.cluster.settings import ProcessSettings
from bramleylug.duties.settings import DutySettings
from bramleylug.settings.fields import setting


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class RelaySettings(ProcessSettings):
    """Settings of ``python -m bramleylug.platform relay``."""

    caller_bind: str = setting('address that callers connect to')
    ready_bind: str = setting('address of the readiness page')
    directory_bind: str = setting('address of the directory; empty for none')
    feed_bind: str = setting(
        'address at which other processes of the zone read the store through '
        'this relay; empty if they cannot',
        '',
    )
    memory_bytes: int = setting(
        'memory for the requests and answers of all callers',
        67108864,
        unit='bytes',
    )
    caller_bytes: int = setting(
        'answer bytes buffered for one caller', 65536, unit='bytes'
    )
    stop_time: float = setting(
        'time from the start of a planned stop to the end', 8.0, unit='s'
    )
    keep_addresses: float = setting(
        'time callers keep the addresses of relays', 2.0, unit='s'
    )
    key_limit: float = setting(
        'time after which a revoked key is not accepted', 5.0, unit='s'
    )
    keys_fail_closed: bool = setting(
        'whether API keys that cannot be confirmed are refused', True
    )
    retry_share: float = setting(
        'retries allowed for each first attempt, over all relays', 0.2
    )
    retry_reserve: float = setting(
        'retries allowed in addition to that share', 100.0
    )
    duties: DutySettings | None = setting(
        'duties that one relay at a time has for all; none by default', None
    )
