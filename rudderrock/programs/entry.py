"""The entry daemon: runs one host of the query tier, which serves callers."""

from rudderrock.programs import _start as start

_STDERR_FD = 2


def main() -> None:
    """Run the program from its first line on."""
    start.run_program('rudderrock.programs._entry_daemon', _STDERR_FD)


if __name__ == '__main__':
    main()
