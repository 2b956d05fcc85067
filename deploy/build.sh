#!/bin/sh
# Builds the program and its libraries into target/deps, which is on Python's
# path at run time. Libraries that are there are kept if their stamp shows that
# they are complete and fit this machine, and if the program starts with them.
# The program is put in place last, so that a build that fails or is killed
# leaves none.
set -eu
cd "$(dirname "$0")/.."

root=$(pwd)
deps=target/deps
partial=target/partial
stamp=build_stamp.txt

# Prints what the libraries in a folder depend on, and a digest of their
# content. Compiled Python modules are left out: Python renews them itself.
make_stamp() {
    sha256sum < requirements.txt
    python3 -P -S -c 'import platform, sysconfig
print(platform.machine(), sysconfig.get_config_var("SOABI"))'
    (
        cd "$1"
        find . \( -name __pycache__ -o -path ./rudderrock \) -prune \
            -o -type f ! -path "./$stamp" -print0 |
            LC_ALL=C sort -z | xargs -0 -r sha256sum
    ) | sha256sum
}

has_libraries() {
    [ -f "$deps/$stamp" ] &&
        [ "$(cat "$deps/$stamp")" = "$(make_stamp "$deps")" ]
}

install_libraries() {
    echo "installing the libraries into $deps"
    rm -rf "$partial/deps"
    python3 -m pip install -q --target "$partial/deps" -r requirements.txt
    make_stamp "$partial/deps" > "$partial/$stamp"
    mv "$partial/$stamp" "$partial/deps/$stamp"
    rm -rf "$deps"
    mv "$partial/deps" "$deps"
}

copy_program() {
    cp -r rudderrock "$partial/rudderrock"
    find "$partial/rudderrock" -name __pycache__ -prune -exec rm -rf {} +
    sh deploy/build_id.sh > "$partial/rudderrock/build_id.txt"
    python3 -m compileall -q "$partial/rudderrock"
}

# Runs the program up to its command line, for which it imports all of its
# modules, with the options and the environment of a run.
can_start() {
    env -i PATH="$PATH" HOME="${HOME:-/}" \
        PYTHONPATH="$root/$partial:$root/$deps" \
        python3 -P -S -m rudderrock.programs.gateway --help > /dev/null
}

mkdir -p target
chmod -R u+rwX target
rm -rf "$partial" "$deps/rudderrock"
mkdir "$partial"
copy_program
if ! has_libraries || ! can_start; then
    install_libraries
    can_start
fi
mv "$partial/rudderrock" "$deps/rudderrock"
rm -rf "$partial"
