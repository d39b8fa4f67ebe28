"""Compares the system files that the deploy build uses with the packages that deploy/system.toml lists.

The build runs in a fresh checkout under strace. Every system file that it opens, executes or finds must belong to a
package that a clean machine installs for the list: the listed packages and their dependencies, without recommended
ones. A package whose files the project names itself (a header that its sources include, a package, library or program
that its CMake files look for) must be listed by name, because a dependency of another package may go away. The
compiler's own packages are exempt: g++ stands for its language library, C library and binary tools.
"""

import functools
import os
import re
import shutil
import subprocess
import tempfile
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

# Files that packages make when they are installed, or that the kernel provides.
UNOWNED_PREFIXES = ("/dev/", "/etc/", "/proc/", "/run/", "/sys/", "/tmp/", "/var/")
GENERATED_FILES = (
    "/usr/lib/locale/locale-archive",
    "/usr/lib/x86_64-linux-gnu/gconv/gconv-modules.cache",
    "/usr/share/locale/locale.alias",
)
# Merged-/usr machines have /lib as a link to /usr/lib; packages own a file under either name.
MERGED_DIRECTORIES = ("bin", "lib", "lib32", "lib64", "sbin")
# The binary tools load every plugin that is installed here, whether a build needs it or not.
TOOL_PLUGINS = "/usr/lib/bfd-plugins/"
COMPILER = "g++"
# Entries of CMake's cache for the programs that the build command and the build system run.
BUILD_PROGRAMS = ("CMAKE_COMMAND", "CMAKE_MAKE_PROGRAM", "CMAKE_CXX_COMPILER")
CALL = re.compile(r"^\d+\s+(\w+)\((.*)\)\s+= (\S+)(?:<(.*)>)?")
QUOTED = re.compile(r'"((?:[^"\\]|\\.)*)"')
# Calls whose success shows that the build found a file, even when it did not read it.
FILE_CALLS = ("open", "openat", "execve", "access", "faccessat", "faccessat2", "stat", "newfstatat", "readlink")


@dataclass
class BuildUse:
    """What one build used: system files, and the words by which the project names some of them."""

    files: set[str] = field(default_factory=set)
    included: set[str] = field(default_factory=set)
    looked_up: set[str] = field(default_factory=set)


def read_list(deploy_file: Path) -> tuple[str, list[str]]:
    """Returns the build command and the listed packages."""
    settings = tomllib.loads(deploy_file.read_text())
    return settings["build"], settings["packages"]


def run_build(repository: Path, checkout: Path, trace: Path) -> None:
    """Copies the tracked files into `checkout` and runs the build there under strace."""
    listed = subprocess.run(
        ["git", "ls-files", "-z"], cwd=repository, check=True, capture_output=True, text=True).stdout
    for name in filter(None, listed.split("\0")):
        source = repository / name
        if not source.is_file():
            continue
        target = checkout / name
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(source, target)
    command, _ = read_list(checkout / "deploy/system.toml")
    log = checkout.parent / "build.log"
    environment = {"PATH": "/usr/local/bin:/usr/bin:/bin", "HOME": str(checkout.parent), "LANG": "C.UTF-8"}
    tracer = ["strace", "-f", "-qq", "--seccomp-bpf", "-e", "trace=%file", "-e", "status=successful", "-s", "4096",
              "-o", str(trace), "sh", "-c", command]
    with log.open("w") as output:
        result = subprocess.run(tracer, cwd=checkout, env=environment, stdout=output, stderr=subprocess.STDOUT)
    if result.returncode != 0:
        raise RuntimeError("the deploy build failed:\n" + "\n".join(log.read_text().splitlines()[-30:]))


def files_of_trace(lines) -> set[str]:
    """Returns the absolute paths of regular files in a trace."""
    paths = set()
    for line in lines:
        call = CALL.match(line)
        if not call or call[1] not in FILE_CALLS:
            continue
        if "S_IFDIR" in call[2] or "O_DIRECTORY" in call[2]:
            continue
        for text in QUOTED.findall(call[2])[:1]:
            if text.startswith("/"):
                paths.add(os.path.normpath(text))
    return {path for path in paths if os.path.isfile(path)}


def names_in_sources(checkout: Path, opened: set[str]) -> set[str]:
    """Returns the names in the include directives of the project's sources that the build opened."""
    names = set()
    for path in opened:
        if path.startswith(f"{checkout}/") and path.endswith((".h", ".cpp", ".cc")) and "/target/" not in path:
            text = Path(path).read_text(errors="replace")
            names.update(re.findall(r'^\s*#\s*include\s*[<"]([^>"]+)[>"]', text, re.MULTILINE))
    return names


def files_looked_up(checkout: Path, opened: set[str]) -> set[str]:
    """Returns the system files that the project's CMake files look for by name."""
    cache = {}
    for line in (checkout / "target/CMakeCache.txt").read_text().splitlines():
        entry = re.match(r"^([^#/][^:]*):\w+=(/.*)$", line)
        if entry:
            cache[entry[1]] = entry[2]
    scripts = [path for path in opened if path.startswith(f"{checkout}/") and path.endswith("CMakeLists.txt")]
    found = {cache[variable] for variable in BUILD_PROGRAMS if variable in cache}
    for script in scripts:
        text = Path(script).read_text()
        for name in re.findall(r"find_package\((\S+?)[\s)]", text):
            # FindPkgConfig writes PKG_CONFIG_EXECUTABLE, FindOpenSSL writes OPENSSL_CRYPTO_LIBRARY.
            found.update(value for key, value in cache.items()
                         if key.replace("_", "").lower().startswith(name.lower()))
            found.update(path for path in opened
                         if os.path.basename(path).lower() in (f"{name}config.cmake".lower(),
                                                               f"{name}-config.cmake".lower()))
        for modules in re.findall(r"pkg_check_modules\(\S+ ([^)]*)\)", text):
            found.update(path for path in opened for module in modules.split()
                         if os.path.basename(path) == f"{module}.pc")
        for variable in re.findall(r"find_(?:file|library|path|program)\((\w+)", text):
            if variable in cache:
                found.add(cache[variable])
    # The development package of a library brings the shared library with the version in its name.
    return {path for path in found if os.path.isfile(path) and not re.search(r"\.so\.\d", path)}


def use_of_build(checkout: Path, trace: Path) -> BuildUse:
    """Returns what a traced build used."""
    with trace.open(errors="replace") as lines:
        opened = files_of_trace(lines)
    use = BuildUse()
    use.files = {path for path in opened if not path.startswith((f"{checkout.parent}/",) + UNOWNED_PREFIXES)}
    use.files -= set(GENERATED_FILES)
    use.included = names_in_sources(checkout, opened)
    use.looked_up = files_looked_up(checkout, opened)
    return use


def alternatives_of(path: str) -> list[str]:
    """Returns the names under which a package may own a file."""
    names = [path]
    for name in MERGED_DIRECTORIES:
        if path.startswith(f"/usr/{name}/"):
            names.append(path.removeprefix("/usr"))
        elif path.startswith(f"/{name}/"):
            names.append("/usr" + path)
    return names


def owners_of(paths: set[str]) -> dict[str, str | None]:
    """Maps each path to the package that owns it, or to None. Links that no package owns count as their targets."""
    candidates = {}
    for path in paths:
        candidates[path] = alternatives_of(path) + alternatives_of(os.path.realpath(path))
    wanted = sorted({name for names in candidates.values() for name in names})
    owner = {}
    for begin in range(0, len(wanted), 500):
        found = subprocess.run(
            ["dpkg-query", "--search", "--", *wanted[begin:begin + 500]], capture_output=True, text=True).stdout
        for line in found.splitlines():
            packages, separator, path = line.partition(": ")
            if separator and not packages.startswith("diversion "):
                owner[path] = packages.split(",")[0].split(":")[0]
    return {path: next((owner[name] for name in names if name in owner), None) for path, names in candidates.items()}


@functools.cache
def simulated_installation(packages: tuple[str, ...]) -> frozenset[str]:
    """Returns what apt installs for these packages on a machine that has none, without recommended packages."""
    essential = subprocess.run(
        ["dpkg-query", "-W", "-f", "${Package} ${Essential} ${Priority}\n"],
        check=True, capture_output=True, text=True).stdout
    base = [line.split()[0] for line in essential.splitlines() if " yes " in line or line.endswith(" required")]
    with tempfile.NamedTemporaryFile() as status:
        command = ["apt-get", "--simulate", "--no-install-recommends", "-o", f"Dir::State::status={status.name}",
                   "install", *base, *packages]
        simulated = subprocess.run(command, capture_output=True, text=True)
        if simulated.returncode != 0:
            # A machine image with all packages installed may have no package lists.
            subprocess.run(["apt-get", "update", "-qq"], check=True)
            simulated = subprocess.run(command, capture_output=True, text=True)
    if simulated.returncode != 0:
        raise RuntimeError("apt cannot resolve the listed packages; correct the list:\n"
                           + simulated.stderr)
    return frozenset(line.split()[1] for line in simulated.stdout.splitlines() if line.startswith("Inst "))


def installed_for(packages) -> frozenset[str]:
    """Returns the packages of a clean machine that installs these."""
    return simulated_installation(tuple(packages))


def loaded_by_plugins(owners: dict[str, str | None], installed: set[str], resolve) -> set[str]:
    """Returns the shared libraries that are read only because a plugin of the binary tools is on this machine."""
    plugins = {owner for path, owner in owners.items() if path.startswith(TOOL_PLUGINS)} - installed - {None}
    if not plugins:
        return set()
    brought = resolve(sorted(plugins)) - installed
    return {path for path, owner in owners.items() if owner in brought and ".so" in os.path.basename(path)}


def faults_of(use: BuildUse, owners: dict[str, str | None], packages: list[str], resolve=installed_for) -> list[str]:
    """Returns one line for each package that the build uses and the list does not provide.

    `resolve` tells what a list of packages installs on a clean machine.
    """
    installed = resolve(packages)
    compiler = resolve([COMPILER])
    plugins = loaded_by_plugins(owners, installed, resolve)
    faults = []
    unowned = sorted(path for path in use.files if owners[path] is None)
    faults.extend(f"no package owns {path}, which the build uses" for path in unowned)
    example = {}
    for path in sorted(use.files - plugins):
        example.setdefault(owners[path], path)
    for package, path in sorted((package, path) for package, path in example.items() if package):
        if package not in installed:
            faults.append(f"{package} is not installed for the listed packages; the build uses {path}")
    named = {}
    for path in sorted(use.files):
        if any(path.endswith("/" + name) for name in use.included):
            named.setdefault(owners[path], path)
    for path in sorted(use.looked_up):
        named.setdefault(owners.get(path), path)
    for package, path in sorted((package, path) for package, path in named.items() if package):
        if package in installed and package not in packages and package not in compiler:
            faults.append(f"{package} is used by name and only installed as a dependency; the project names {path}")
    return faults
