"""Tests meta/check-docs on a small repository. Run by "meta/savorymount test"."""
import os
import subprocess
import tempfile
import unittest

CHECK = os.path.join(os.path.dirname(os.path.abspath(__file__)), "../../meta/check-docs")

FILES = {
    "README.md": "Run `meta/tool build --fast`. See [proofs](docs/PROOFS.md).\n",
    "meta/tool": "#!/bin/sh\n# --removed was a flag once\n[ \"$1\" = --fast ]\n",
    "services/main.cpp": 'parser.add("store-address", "", "address of the store");\n',
    "tests/libraries/limits/bucket_test.cpp": (
        "TEST(bucket, refills) {}\nTEST_F(gateway_test,\n       answers_once) {}\n"
        'char const* unknown[] = {"--no-such-flag"};\n'
    ),
    "docs/PROOFS.md": (
        "| Rule | Tests |\n|---|---|\n"
        "| rate | library `bucket`, `bucket.refills`, `bucket.*`, `limits` |\n"
        "| answers | system `answers_once`, `answers_...`, `gateway_test.answers_once` |\n"
    ),
    "docs/incidents/one.md": "Read `metrics.csv`, `services/main.cpp` and `services/*.cpp`; guarded by `bucket.refills`.\n",
    "docs/OPERATIONS.md": "| Setting | Meaning |\n|---|---|\n| `store-address` | the store |\n",
    "docs/CONFIGURATION.md": "```\nmain --store-address 127.0.0.1:1  # or SAVORYMOUNT_STORE_ADDRESS\n```\n",
}


class CheckDocsTest(unittest.TestCase):
    def check(self, name=None, text=""):
        """Runs the check on FILES with `text` after the last line of the file `name`."""
        with tempfile.TemporaryDirectory() as root:
            for path, content in FILES.items():
                path_here = os.path.join(root, path)
                os.makedirs(os.path.dirname(path_here), exist_ok=True)
                with open(path_here, "w", encoding="utf-8") as file:
                    file.write(content + (text if path == name else ""))
            done = subprocess.run([CHECK, root], capture_output=True, text=True, check=False)
        return done.returncode, done.stderr

    def assert_miss(self, name, text, expected):
        code, output = self.check(name, text)
        self.assertEqual(code, 1, output)
        line = FILES[name].count("\n") + 1
        self.assertIn(f"{name}:{line}: {expected}", output)
        self.assertEqual(output.count("\n"), 2, output)

    def test_accepts_names_that_exist(self):
        self.assertEqual(self.check(), (0, ""))

    def test_reports_a_path(self):
        self.assert_miss("README.md", "See `services/gone.cpp`.\n", "services/gone.cpp does not exist")

    def test_reports_a_file_name(self):
        self.assert_miss("README.md", "See `gone.hpp`.\n", "there is no file gone.hpp")

    def test_reports_a_link(self):
        self.assert_miss("README.md", "[Gone](docs/GONE.md#part)\n", "the link's file docs/GONE.md does not exist")

    def test_reports_a_flag(self):
        self.assert_miss("README.md", "Pass `--slow`.\n", "no program has the flag --slow")

    def test_reports_a_flag_that_only_a_comment_names(self):
        self.assert_miss("README.md", "Pass `--removed`.\n", "no program has the flag --removed")

    def test_reports_a_flag_that_only_a_test_names(self):
        self.assert_miss("README.md", "Pass `--no-such-flag`.\n", "no program has the flag --no-such-flag")

    def test_reports_a_variable(self):
        self.assert_miss("README.md", "Set `SAVORYMOUNT_GONE=1`.\n", "nothing reads SAVORYMOUNT_GONE")

    def test_reports_a_setting(self):
        self.assert_miss("docs/OPERATIONS.md", "| `gone` | - |\n", "no program has the flag --gone")

    def test_reports_a_suite(self):
        self.assert_miss("docs/PROOFS.md", "| x | library `pail` |\n", "there is no test suite or test pail")

    def test_reports_a_test(self):
        self.assert_miss("docs/incidents/one.md", "Guarded by `bucket.drains`.\n", "the test suite bucket has no test drains")

    def test_reports_a_test_of_an_unknown_suite(self):
        self.assert_miss("docs/incidents/one.md", "Guarded by `pail.refills`.\n", "there is no test suite pail")


if __name__ == "__main__":
    unittest.main()
