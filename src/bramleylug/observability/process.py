"""What a process uses, as the kernel counts it."""

from pathlib import Path

PROC = Path('/proc')
BYTES_PER_KIB = 1024


def resident_bytes(pid: int | None = None) -> int:
    """Return the resident memory of a process, by default of this one."""
    return status_bytes(pid, 'VmRSS:')


def status_bytes(pid: int | None, name: str) -> int:
    """Return one figure of proc(5) status; 0 where it is absent."""
    status = (PROC / str(pid or 'self') / 'status').read_text()
    for line in status.splitlines():
        if line.startswith(name):
            return int(line.split()[1]) * BYTES_PER_KIB
    return 0
