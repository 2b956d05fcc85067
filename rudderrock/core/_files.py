"""Reading of small files that others provide."""

import errno
import os
import pathlib
import stat

# Kinds of files whose reading may block or may not end.
_ENDLESS_KINDS = frozenset({stat.S_IFIFO, stat.S_IFCHR, stat.S_IFSOCK})


def read_small_file(path: pathlib.Path, max_bytes: int) -> bytes:
    """Return the content of a file of at most `max_bytes` bytes.

    Neither blocks on a pipe nor reads a device. Raises OSError if the file
    cannot be read, is larger, or is a pipe, a socket or a device.
    """
    flags = os.O_RDONLY | os.O_NONBLOCK | os.O_NOCTTY | os.O_CLOEXEC
    with open(os.open(path, flags), 'rb') as file:
        mode = os.fstat(file.fileno()).st_mode
        if stat.S_IFMT(mode) in _ENDLESS_KINDS:
            raise OSError(errno.EINVAL, 'is not a regular file')
        raw = file.read(max_bytes + 1)
    if len(raw) > max_bytes:
        raise OSError(errno.EFBIG, os.strerror(errno.EFBIG))
    return raw
