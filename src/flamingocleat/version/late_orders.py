"""Orders that may still be carried out.

A VM may carry out an order that it has not answered seconds later, after newer
orders. Whatever depends on the order not taking effect must wait until then.
"""

import collections

from flamingocleat import ids
from flamingocleat.version import confirmations
from flamingocleat.version import orders as orders_module

MAX_DELAY_S = 15.0
"""Longest time after which a VM carries out an order without an answer."""

_Key = tuple[orders_module.Op, ids.BackendId, ids.Epoch]

NEVER_S = float("-inf")


class LateOrders:
    """Orders of one service's groups that have no definite answer."""

    def __init__(self) -> None:
        self.sent_s: dict[_Key, collections.deque[float]] = {}
        """When the unanswered orders were sent, the oldest first."""
        self.begun_s: dict[_Key, float] = {}
        """When orders were last answered as begun or done."""

    def record_sent(self, order: orders_module.Order, now_s: float) -> None:
        """Note an order that is about to be sent."""
        self.sent_s.setdefault(_key(order), collections.deque()).append(now_s)

    def record_answer(
        self,
        order: orders_module.Order,
        effect: confirmations.Effect,
        now_s: float,
    ) -> None:
        """Note what became of an order.

        Copies of an order cannot be told apart. An answer settles the oldest,
        so that the newest, which may take effect last, stays known.
        """
        if effect is confirmations.Effect.UNKNOWN:
            return
        key = _key(order)
        sent_s = self.sent_s.get(key)
        if sent_s:
            sent_s.popleft()
        if effect in (confirmations.Effect.BEGUN, confirmations.Effect.HOLDS):
            self.begun_s[key] = now_s

    def pending_until_s(
        self, op: orders_module.Op, backend: ids.BackendId, epoch: ids.Epoch
    ) -> float:
        """Return until when an unanswered order may take effect."""
        sent_s = self.sent_s.get((op, backend, epoch))
        return sent_s[-1] + MAX_DELAY_S if sent_s else NEVER_S

    def latest_s(
        self, op: orders_module.Op, backend: ids.BackendId, epoch: ids.Epoch
    ) -> float:
        """Return the latest time at which an order may have been begun."""
        return max(
            self.begun_s.get((op, backend, epoch), NEVER_S),
            self.pending_until_s(op, backend, epoch),
        )

    def trim(self, epochs: set[ids.Epoch], now_s: float) -> None:
        """Forget orders of groups that have ended and can't take effect."""
        self.sent_s = {
            key: sent_s
            for key, sent_s in self.sent_s.items()
            if sent_s and (key[2] in epochs or now_s - sent_s[-1] < MAX_DELAY_S)
        }
        self.begun_s = {
            key: at_s for key, at_s in self.begun_s.items() if key[2] in epochs
        }


def _key(order: orders_module.Order) -> _Key:
    return order.op, order.backend, order.epoch
