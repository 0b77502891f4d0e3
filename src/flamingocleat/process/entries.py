"""Log entries that a voter holds in memory."""

import collections.abc

from flamingocleat import messages


class Entries:
    """Entries after a base, which is the last entry that was dropped."""

    def __init__(
        self,
        base_index: int,
        base_term: int,
        entries: collections.abc.Iterable[messages.LogEntry] = (),
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.entries = list(entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the base."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the base."""
        return self.entries[-1].term if self.entries else self.base_term

    def get(self, index: int) -> messages.LogEntry:
        """Return one entry."""
        return self.entries[index - self.base_index - 1]

    def term(self, index: int) -> int:
        """Return the term of an entry, or of the base."""
        if index == self.base_index:
            return self.base_term
        return self.get(index).term

    def holds(self, index: int) -> bool:
        """Return whether the term at this index is known."""
        return self.base_index <= index <= self.last_index

    def append(self, entry: messages.LogEntry) -> None:
        """Add the next entry."""
        self.entries.append(entry)

    def after(
        self, index: int, max_entries: int, max_bytes: int
    ) -> tuple[messages.LogEntry, ...]:
        """Return entries that follow index: one, or more within limits."""
        start = index - self.base_index
        found: list[messages.LogEntry] = []
        size = 0
        for entry in self.entries[start : start + max_entries]:
            size += len(entry.command)
            if found and size > max_bytes:
                break
            found.append(entry)
        return tuple(found)

    def truncate(self, from_index: int) -> None:
        """Remove the entry at from_index and all later ones."""
        del self.entries[from_index - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Drop the entries up to index, which becomes the base."""
        if index <= self.base_index:
            return
        term = self.term(index)
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def first_of_term(self, index: int) -> int:
        """Return the first known index of the term that index has."""
        term = self.term(index)
        while index - 1 > self.base_index and self.term(index - 1) == term:
            index -= 1
        return index
