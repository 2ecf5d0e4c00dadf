"""The error kinds and the table of their HTTP statuses."""

from bilberrypass import errors
from testing import collecting


def test_every_kind_has_a_response():
    assert set(errors.RESPONSES) == set(errors.Kind)
    for kind in errors.Kind:
        assert kind.name == kind.value


load_tests = collecting.hook(__name__)
