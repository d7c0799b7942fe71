"""Builds target/deps for deployment on the platform: the daemon's libraries, at the
versions in constraints.txt, and this package, compiled. Libraries are installed again
only when ``LIBRARIES`` or constraints.txt have changed."""

import compileall
import hashlib
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
LIBRARIES_STAMP = ROOT / "target" / "deps.stamp"
SOURCE_STAMP = ROOT / "target" / "source.stamp"
# Libraries that a process on the platform imports. The package's other dependencies
# would only cost memory and time at each start.
LIBRARIES = (
    "anyio",
    "httptools",
    "msgspec",
    "absl-py",
    "prometheus-client",
    "pyzmq",
    "structlog",
    "uvicorn",
)


def main() -> None:
    """Build target/deps, or only its parts that are out of date."""
    constraints = ROOT / "constraints.txt"
    libraries_digest = hashlib.sha256(
        constraints.read_bytes() + repr(LIBRARIES).encode()
    )
    if (
        not LIBRARIES_STAMP.exists()
        or LIBRARIES_STAMP.read_text() != libraries_digest.hexdigest()
    ):
        shutil.rmtree(DEPS, ignore_errors=True)
        install = [sys.executable, "-m", "pip", "install", "-q"]
        install += ["--disable-pip-version-check", "--target", str(DEPS)]
        subprocess.run([*install, "-c", str(constraints), *LIBRARIES], check=True)
        LIBRARIES_STAMP.write_text(libraries_digest.hexdigest())
    source = ROOT / "src" / "granitetrestle"
    source_digest = _digest(source)
    package = DEPS / "granitetrestle"
    # Another build must not delete the files of running processes.
    if (
        package.exists()
        and SOURCE_STAMP.exists()
        and SOURCE_STAMP.read_text() == source_digest
    ):
        return
    shutil.rmtree(package, ignore_errors=True)
    shutil.copytree(source, package)
    compileall.compile_dir(str(DEPS), quiet=2, workers=1)
    SOURCE_STAMP.write_text(source_digest)


def _digest(folder: pathlib.Path) -> str:
    """Return a digest of all sources in ``folder``."""
    digest = hashlib.sha256()
    for path in sorted(folder.rglob("*.py")):
        digest.update(str(path.relative_to(folder)).encode())
        digest.update(path.read_bytes())
    return digest.hexdigest()


main()
