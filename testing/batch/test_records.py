"""Changes of job records that no longer exist."""

from bilberrypass import errors
from bilberrypass.batch import records
from testing import collecting, fixtures


def test_cancel_of_a_job_removed_meanwhile_does_not_fail_the_whole_batch():
    """Only an ``errors.Error`` leaves the other changes of a write in force."""
    exc = fixtures.error_of(errors.Refused, records.cancel, {}, ("t", "j"))
    assert exc.kind is errors.Kind.NOT_FOUND, exc


load_tests = collecting.hook(__name__)
