"""The pages that are written from the code."""

from bilberrypass.version import settings
from testing import collecting, pages


def test_pages_are_as_the_code_has_it():
    for name, write in pages.PAGES.items():
        said = (pages.DOCS / name).read_text()
        assert said == write(), f"{name}: run python -m testing.pages and commit it"


def test_every_key_has_a_meaning():
    for part in (settings.Entry, settings.Agent):
        for key in pages.keys(part, {}):
            assert key.meaning, key


def test_defaults_are_keys():
    for part, defaults in (
        (settings.Entry, settings.ENTRY_DEFAULTS),
        (settings.Agent, settings.AGENT_DEFAULTS),
    ):
        assert defaults.keys() <= set(part.__annotations__)


load_tests = collecting.hook(__name__)
