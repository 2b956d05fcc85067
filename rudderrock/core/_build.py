"""Identification of the build that a process runs."""

import pathlib

import rudderrock

BUILD_ID_FILE = 'build_id.txt'


def read_build_id(package: pathlib.Path | None = None) -> str:
    """Return the id that the build wrote into the package.

    `package` is the folder of the package, by default the one imported. The id
    is empty if the program runs from its sources, or if it is not text.
    """
    folder = package or pathlib.Path(rudderrock.__file__).parent
    try:
        return (folder / BUILD_ID_FILE).read_text(encoding='ascii').strip()
    except (OSError, UnicodeDecodeError):
        return ''
