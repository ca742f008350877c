"""Reads the memory use of a process from the kernel."""

from pathlib import Path

PROC = Path('/proc')
BYTES_PER_KIB = 1024
RESIDENT = 'VmRSS:'


def resident_bytes(pid: int | None = None) -> int:
    """Return the resident memory of a process, by default of this one.

    Reads ``VmRSS`` of ``/proc/PID/status``, see proc(5); 0 if it is absent.
    """
    status = (PROC / str(pid or 'self') / 'status').read_text()
    for line in status.splitlines():
        if line.startswith(RESIDENT):
            return int(line.split()[1]) * BYTES_PER_KIB
    return 0
