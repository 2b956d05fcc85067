"""The gateway daemon, which forwards callers' requests to upstreams."""

from rudderrock.programs import _start as start

_STDOUT_FD = 1


def main() -> None:
    """Run the program from its first line on."""
    start.run_program('rudderrock.programs._gateway_daemon', _STDOUT_FD)


if __name__ == '__main__':
    main()
