"""Explanations of where a request would go."""

import msgspec
import pytest

from flamingocleat import messages
from flamingocleat.process import ctl
from flamingocleat.request import admission
from flamingocleat.request import explanation
from flamingocleat.version import candidates
from flamingocleat.version import catalog

CATALOG = catalog.CatalogIndex(
    catalog.Catalog(
        version=7,
        routes=(
            catalog.Route(
                name="r",
                host="h",
                prefix="/p/",
                kind=catalog.CallKind.IDEMPOTENT,
                timeout_s=2.0,
                objective_s=0.5,
                priority=2,
                targets=(catalog.Target("desk", 1.0),),
            ),
        ),
        services=(catalog.Service("desk", 100),),
        customers=(catalog.Customer("urgent", ("k",), 0),),
    )
)
QUESTION = explanation.Question(host="h", path="/p/x")


class Gateway:
    """Admission of a gateway with plain servers of two data centres."""

    def __init__(self) -> None:
        self.candidates = candidates.Candidates()
        self.admission = admission.Admission("a", self.candidates)
        self.candidates.update(
            messages.ServedBackend(name, f"{name}:80", "desk", centre, slots=2)
            for name, centre in (("near", "a"), ("far", "b"), ("out", "c"))
        )

    def explain(self, **changes) -> explanation.Explanation:
        question = msgspec.structs.replace(QUESTION, **changes)
        return explanation.explain(question, CATALOG, self.admission)

    def obstacles(self) -> dict[str, tuple[str, ...]]:
        servers = self.explain().servers
        return {each.backend: each.obstacles for each in servers}


def test_answer_is_the_server_that_admission_chooses():
    """Guards against explanations that differ from what happens."""
    gateway = Gateway()
    for _ in range(6):
        expected = gateway.explain()
        question = QUESTION
        demand = explanation._demand(
            question,
            CATALOG.catalog.routes[0],
            CATALOG.services["desk"],
            CATALOG,
            gateway.admission,
        )
        found = gateway.admission.try_place(demand)
        assert expected.decision is explanation.Decision.SEND
        assert found.view.backend == expected.chosen


def test_obstacles_name_why_a_server_gets_nothing():
    """Guards against servers that are left out without a reason."""
    gateway = Gateway()
    gateway.candidates.set_evacuated([messages.EvacuatedDataCentre("c")])
    gateway.candidates.by_backend["near"].in_flight = 2
    gateway.candidates.by_backend["far"].mark_failed(gateway.admission.clock())
    assert gateway.obstacles() == {
        "near": ("no free slot",),
        "far": ("avoided after a failure",),
        "out": ("data centre is evacuated",),
    }


def test_nothing_is_counted_or_reserved():
    """Guards against questions that change what callers get."""
    gateway = Gateway()
    gateway.explain()
    assert not any(
        each.in_flight for each in gateway.candidates.by_backend.values()
    )
    assert not gateway.admission.demand
    assert not gateway.admission.waiting


def test_request_without_any_server_is_refused():
    """Guards against an error where no server is usable."""
    gateway = Gateway()
    gateway.candidates.update(())
    answer = gateway.explain()
    assert answer.decision is explanation.Decision.REFUSE
    assert answer.expected_wait_s is None
    assert not answer.servers


def test_priority_of_the_customer_takes_precedence():
    """Guards against an explanation for another caller's priority."""
    gateway = Gateway()
    assert gateway.explain().priority == 2
    assert gateway.explain(customer="urgent").priority == 0


@pytest.mark.parametrize(
    "target",
    ["/explain", "/explain?host=h", "/explain?host=h&path=/p/&prompt_tokens=x"],
)
def test_invalid_question_is_refused(target):
    """Guards against a traceback for what an operator mistypes."""
    with pytest.raises(explanation.QuestionError):
        explanation.read_question(target)


def test_unknown_route_and_customer_are_named():
    """Guards against an answer for a request that nobody can make."""
    gateway = Gateway()
    with pytest.raises(explanation.QuestionError, match="no route"):
        gateway.explain(path="/other")
    with pytest.raises(explanation.QuestionError, match="no customer"):
        gateway.explain(customer="unknown")


def test_command_prints_the_servers(capsys, monkeypatch):
    """Guards against a command that fails on a gateway's answer."""
    answer = msgspec.json.encode(Gateway().explain())

    class Reply:
        status = 200
        data = answer

    asked = []

    class Manager:
        def request(self, method, url, **options):
            asked.append((method, url, options["fields"]))
            return Reply

    monkeypatch.setattr(ctl.bounded, "pool_manager", Manager)
    arguments = ["explain", "--gateway", "127.0.0.1:9464"]
    assert ctl.main([*arguments, "--host", "h", "--path", "/p/x"]) == 0
    assert asked == [
        (
            "GET",
            "http://127.0.0.1:9464/explain",
            {"host": "h", "path": "/p/x"},
        )
    ]
    output = capsys.readouterr().out
    assert "* near  in a: 0 of 2 slots" in output
    assert "send, version 7" in output
