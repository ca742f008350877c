"""What a process uses, as the kernel counts it."""

from pathlib import Path

PROC = Path('/proc')
BYTES_PER_KIB = 1024
RESIDENT = 'VmRSS:'


def resident_bytes(pid: int | None = None) -> int:
    """Return the resident memory of a process, by default of this one.

    Source: proc(5), status.
    """
    status = (PROC / str(pid or 'self') / 'status').read_text()
    for line in status.splitlines():
        if line.startswith(RESIDENT):
            return int(line.split()[1]) * BYTES_PER_KIB
    return 0
