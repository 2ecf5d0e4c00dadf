"""Make unittest collect plain test functions."""

import collections.abc as abc
import sys
import unittest


def hook(module_name: str) -> abc.Callable[..., unittest.TestSuite]:
    """Return a ``load_tests`` hook that collects a module's ``test_`` functions."""

    def load_tests(loader, standard_tests, pattern):
        suite = unittest.TestSuite()
        module = sys.modules[module_name]
        for name, value in sorted(vars(module).items()):
            if name.startswith("test_") and callable(value):
                suite.addTest(
                    _FunctionTestCase(value, description=f"{module_name}.{name}")
                )
        return suite

    return load_tests


class _FunctionTestCase(unittest.FunctionTestCase):
    """A test function whose id is its module and its name."""

    def id(self):
        return self.shortDescription()

    def __str__(self):
        return self.shortDescription()
