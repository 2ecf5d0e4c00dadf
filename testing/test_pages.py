"""The pages generated from the code are current and complete."""

from bilberrypass.version import settings
from testing import collecting, pages


def test_generated_pages_match_the_code():
    for name, write in pages.PAGES.items():
        text = (pages.DOCS / name).read_text()
        assert text == write(), f"{name}: run python -m testing.pages and commit it"


def test_every_settings_key_has_a_description():
    for part in (settings.Entry, settings.Agent):
        for key in pages.settings_keys(part, {}):
            assert key.meaning, key


def test_defaults_name_existing_settings_keys():
    for part, defaults in (
        (settings.Entry, settings.ENTRY_DEFAULTS),
        (settings.Agent, settings.AGENT_DEFAULTS),
    ):
        assert defaults.keys() <= set(part.__annotations__)


load_tests = collecting.hook(__name__)
