"""Prints examples/kontejnery.yaml.

Run as: python -m examples.kontejnery_declare > examples/kontejnery.yaml
"""

from flamingocleat.version import declare

# Name, weight, default priority, and whether it also uses the permit desk.
# The three firms and the largest city office bring most of the load.
_CUSTOMERS = (
    ("vltava-skips", 8, 2, True),
    ("sazava-containers", 6, 2, True),
    ("labe-rental", 6, 2, True),
    ("permit-office", 5, 3, True),
    ("praha-3-clerks", 2, 3, True),
    ("praha-7-clerks", 2, 3, True),
    ("kladno-clerks", 2, 3, True),
    ("beroun-clerks", 1, 3, True),
    ("dispatch-night", 1, 1, True),
    ("archive-summaries", 1, 6, False),
)


def site() -> declare.Site:
    """Return the declaration of Kontejnery Vltava Group."""
    made = declare.Site(
        "kontejnery-vltava",
        notes=[
            "Kontejnery Vltava Group. Printed by kontejnery_declare.py.",
            "",
            "Keys are examples and must not be used: the key of each",
            "customer and operator is example-key-NAME, for instance",
            "example-key-permit-office.",
        ],
    )
    centres = [
        made.data_centre(name, "cz-central")
        for name in ("praha-a", "praha-b", "kladno")
    ]
    drafting = made.model_service(
        "drafting-llm", timeout_ms=60_000, max_body_bytes=4_194_304
    )
    desk = made.plain_service(
        "permit-desk",
        calls=[
            declare.not_repeatable("POST", "/renewals"),
            declare.not_repeatable("POST", "/objections"),
            declare.repeatable("POST", "/searches"),
        ],
    )
    # Spares would be stranded accelerators, so none are kept.
    made.model_group(
        "drafting",
        drafting,
        model="drafter",
        model_version="2026-11",
        vms_per_replica=4,
        replicas=24,
        data_centres=centres,
    )
    for name, weight, priority, uses_desk in _CUSTOMERS:
        made.customer(
            name,
            [declare.key_sha256(f"example-key-{name}")],
            [drafting, desk] if uses_desk else [drafting],
            weight=weight,
            priority=priority,
        )
    for name in ("jana", "night-shift"):
        made.operator(name, declare.key_sha256(f"example-key-{name}"))
    made.policy(downtime_weight=1.0, stranded_weight=4.0)
    return made


if __name__ == "__main__":
    print(site().yaml(), end="")
