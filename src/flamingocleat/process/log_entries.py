"""Log entries that a voter keeps in memory."""

import collections.abc

from flamingocleat import messages


class LogEntries:
    """Log entries after a base, which is the last entry that was removed."""

    def __init__(
        self,
        base_index: int,
        base_term: int,
        entries: collections.abc.Iterable[messages.LogEntry] = (),
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.entries = list(entries)
        self.size_bytes = _size_bytes(self.entries)
        """Size of the commands of all entries."""

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

    def knows_term(self, index: int) -> bool:
        """Return whether the term of the entry at this index is known."""
        return self.base_index <= index <= self.last_index

    def append(self, entry: messages.LogEntry) -> None:
        """Add the next entry."""
        self.entries.append(entry)
        self.size_bytes += len(entry.command)

    def batch_after(
        self, index: int, max_entries: int, max_bytes: int
    ) -> tuple[messages.LogEntry, ...]:
        """Return the entries after index, within limits but at least one."""
        start = index - self.base_index
        batch: list[messages.LogEntry] = []
        size = 0
        for entry in self.entries[start : start + max_entries]:
            size += len(entry.command)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def truncate(self, from_index: int) -> None:
        """Remove the entry at from_index and all later ones."""
        start = from_index - self.base_index - 1
        self.size_bytes -= _size_bytes(self.entries[start:])
        del self.entries[start:]

    def compact(self, index: int) -> None:
        """Remove the entries up to index, which becomes the base."""
        if index <= self.base_index:
            return
        term = self.term(index)
        count = index - self.base_index
        self.size_bytes -= _size_bytes(self.entries[:count])
        del self.entries[:count]
        self.base_index = index
        self.base_term = term

    def size_after(self, index: int) -> int:
        """Return the size in bytes of the commands of later entries."""
        return _size_bytes(self.entries[max(0, index - self.base_index) :])

    def retained_after(
        self, index: int, max_entries: int, max_bytes: int
    ) -> int:
        """Return the index to compact to so that some entries are retained.

        Args:
            index: Entries up to this one may be removed.
            max_entries: Bound on the number of these that are retained.
            max_bytes: Bound on the size of their commands.
        """
        lowest = max(self.base_index, index - max_entries)
        size = 0
        while index > lowest:
            size += len(self.get(index).command)
            if size > max_bytes:
                break
            index -= 1
        return index

    def first_index_of_term(self, index: int) -> int:
        """Return the first known index that has the same term as index."""
        term = self.term(index)
        while index - 1 > self.base_index and self.term(index - 1) == term:
            index -= 1
        return index


def _size_bytes(entries: collections.abc.Iterable[messages.LogEntry]) -> int:
    return sum(len(entry.command) for entry in entries)
