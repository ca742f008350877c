"""Settings of the loader."""

from dataclasses import dataclass
from typing import final

from bramleylug.cluster.settings import ProcessSettings
from bramleylug.settings.fields import setting


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class LoaderSettings(ProcessSettings):
    """Settings of ``python -m bramleylug.platform loader``."""

    upstream: str = setting('address of the engine on this host, host:port')
    service: str = setting('service of that engine')
    chunk_bind: str = setting('address at which chunks are served')
    link_rate: float = setting(
        'network link rate of this host', 587_500, unit='bytes/s'
    )
    upload_share: float = setting(
        'share of the link for chunks while answers are being sent', 0.75
    )
