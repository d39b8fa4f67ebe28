"""Tests of the comparison between the files of a build and the listed packages."""

import sys
import tempfile
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
from buildpackages import BuildUse, faults_of, files_looked_up, files_of_trace  # noqa: E402

HEADER = "/usr/include/wire/message.h"
LIBRARY = "/usr/lib/libwire.so"
PLUGIN = "/usr/lib/bfd-plugins/plugin.so"
PLUGIN_LIBRARY = "/usr/lib/libplugin.so.1"
OWNERS = {HEADER: "libwire-dev", LIBRARY: "libwire-dev", PLUGIN: "tool-plugin", PLUGIN_LIBRARY: "libplugin1"}
DEPENDENCIES = {
    "g++": {"g++", "libc6-dev"},
    "librpc-dev": {"librpc-dev", "libwire-dev"},
    "libwire-dev": {"libwire-dev"},
    "tool-plugin": {"tool-plugin", "libplugin1"},
}


def resolve(packages):
    """Stands in for apt."""
    return set().union(*(DEPENDENCIES[package] for package in packages))


class ListOfPackages(unittest.TestCase):
    def faults(self, use, packages):
        return faults_of(use, OWNERS, packages, resolve)

    def test_a_package_that_only_this_machine_has_is_a_fault(self):
        # Guards against a build that passes here because a recommended package happens to be installed.
        faults = self.faults(BuildUse(files={HEADER}), ["g++"])
        self.assertEqual(len(faults), 1)
        self.assertIn("libwire-dev is not installed", faults[0])

    def test_a_linked_library_counts_as_well_as_a_header(self):
        # Guards against a check that looks at headers only.
        self.assertEqual(len(self.faults(BuildUse(files={LIBRARY}), ["g++"])), 1)

    def test_a_dependency_may_be_used_by_what_depends_on_it(self):
        self.assertEqual(self.faults(BuildUse(files={HEADER}), ["g++", "librpc-dev"]), [])

    def test_a_package_that_the_sources_include_must_be_listed_by_name(self):
        # Guards against a build that breaks when another package drops a dependency.
        use = BuildUse(files={HEADER}, included={"wire/message.h"})
        faults = self.faults(use, ["g++", "librpc-dev"])
        self.assertEqual(len(faults), 1)
        self.assertIn("used by name", faults[0])
        self.assertEqual(self.faults(use, ["g++", "librpc-dev", "libwire-dev"]), [])

    def test_a_package_that_the_cmake_files_look_up_must_be_listed_by_name(self):
        use = BuildUse(files={LIBRARY}, looked_up={LIBRARY})
        self.assertEqual(len(self.faults(use, ["g++", "librpc-dev"])), 1)

    def test_plugins_that_the_binary_tools_load_here_are_no_fault(self):
        # Other machines have other plugins, and the build needs none of them.
        self.assertEqual(self.faults(BuildUse(files={PLUGIN, PLUGIN_LIBRARY}), ["g++"]), [])

    def test_a_file_of_no_package_is_a_fault(self):
        # Guards against libraries that were installed by hand.
        path = "/usr/local/include/wire.h"
        faults = faults_of(BuildUse(files={path}), {path: None}, ["g++"], resolve)
        self.assertEqual(len(faults), 1)


class Trace(unittest.TestCase):
    def test_files_that_were_opened_executed_or_found_are_read_from_a_trace(self):
        with tempfile.TemporaryDirectory() as directory:
            files = [f"{directory}/{name}" for name in ("opened.h", "program", "found.so")]
            for name in files:
                Path(name).touch()
            lines = [
                f'7  openat(AT_FDCWD, "{directory}/x/../opened.h", O_RDONLY) = 4',
                f'7  execve("{directory}/program", ["program"], 0x55 /* 3 vars */) = 0',
                f'8  newfstatat(AT_FDCWD, "{directory}/found.so", {{st_mode=S_IFREG|0644, ...}}, 0) = 0',
                f'8  newfstatat(AT_FDCWD, "{directory}", {{st_mode=S_IFDIR|0755, ...}}, 0) = 0',
                "8  +++ exited with 0 +++",
            ]
            self.assertEqual(files_of_trace(lines), set(files))


class LookUps(unittest.TestCase):
    def test_the_files_behind_find_package_are_read_from_the_cache(self):
        with tempfile.TemporaryDirectory() as directory:
            checkout = Path(directory)
            (checkout / "target").mkdir()
            library = checkout / "libcrypto.so"
            library.touch()
            script = checkout / "CMakeLists.txt"
            script.write_text("find_package(OpenSSL REQUIRED)\n")
            (checkout / "target/CMakeCache.txt").write_text(
                f"OPENSSL_CRYPTO_LIBRARY:FILEPATH={library}\nOTHER_LIBRARY:FILEPATH={script}\n")
            self.assertEqual(files_looked_up(checkout, {str(script)}), {str(library)})


if __name__ == "__main__":
    unittest.main()
