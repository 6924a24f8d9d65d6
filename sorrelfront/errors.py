"""Base class of the errors that are shown to operators, with a remedy for each."""

from __future__ import annotations


class SorrelfrontError(Exception):
    """Base class of all errors that are shown to operators.

    `str` of an error says in one line what happened. `remedy`, set on each class or passed to an instance,
    says in one sentence what an operator can do.
    """

    remedy: str

    def __init__(self, *details: object, remedy: str = "") -> None:
        super().__init__(*details)
        if remedy:
            self.remedy = remedy

    def __init_subclass__(cls) -> None:
        """Raise TypeError for a subclass without a remedy."""
        super().__init_subclass__()
        if not getattr(cls, "remedy", ""):
            raise TypeError(f"{cls.__name__} has no remedy")

    def message_with_remedy(self) -> str:
        """Return the error text and the remedy in one line."""
        return " ".join(f"{self}; {self.remedy}".split())
