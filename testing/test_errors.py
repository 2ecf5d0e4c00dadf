"""The closed list of error kinds and its table."""

from bilberrypass import errors
from testing import collecting


def test_every_kind_has_its_answer():
    assert set(errors.ANSWERS) == set(errors.Kind)
    for kind in errors.Kind:
        assert kind.name == kind.value


load_tests = collecting.hook(__name__)
