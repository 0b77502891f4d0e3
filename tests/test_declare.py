"""A declaration prints the configuration that is submitted."""

import pathlib

import pytest

from examples import kontejnery_declare
from flamingocleat import errors
from flamingocleat.version import declare
from flamingocleat.version import schema
from flamingocleat.version import validation

_EXAMPLES = pathlib.Path(kontejnery_declare.__file__).parent


def test_example_is_what_its_declaration_prints():
    """The example document must be what its declaration prints.

    Otherwise a review of the declaration does not cover what is submitted.
    """
    text = (_EXAMPLES / "kontejnery.yaml").read_text(encoding="utf-8")
    site = kontejnery_declare.site()
    assert site.yaml() == text
    assert validation.check(text, "k.yaml") == site.configuration()


def test_declaration_is_checked_before_it_is_printed():
    """A declaration must be checked before it is printed.

    Otherwise faults are found only when the document is submitted.
    """
    site = declare.Site("x")
    site.model_service("llm")
    with pytest.raises(errors.DocumentError, match="no model group"):
        site.yaml()


@pytest.mark.parametrize("name", ["kontejnery", "gangwon"])
def test_examples_have_the_operators_weights_and_example_keys(name):
    """The examples must have the weights and keys that they describe.

    Operators copy them, and the two examples set opposite weights.
    """
    text = (_EXAMPLES / f"{name}.yaml").read_text(encoding="utf-8")
    parsed = validation.check(text, name)
    policy = parsed.policy
    prefers_serving = policy.downtime_weight > policy.stranded_weight
    serves = policy.stale_configuration is schema.StaleConfiguration.SERVE
    assert prefers_serving == serves == (name == "gangwon")
    assert len(parsed.customers) == 10
    assert len({customer.weight for customer in parsed.customers}) > 3
    for customer in parsed.customers:
        key = declare.key_sha256(f"example-key-{customer.name}")
        assert customer.key_sha256 == (key,)
