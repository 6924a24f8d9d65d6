"""The package's types of error that operators meet: what happened, and what they can do."""

from __future__ import annotations


class SorrelfrontError(Exception):
    """The base of all. `str` of one says what happened, in one line. `remedy`, on each class or given to an
    instance, says what an operator can do, in one sentence."""

    remedy: str

    def __init__(self, *what: object, remedy: str = "") -> None:
        super().__init__(*what)
        if remedy:
            self.remedy = remedy

    def __init_subclass__(cls) -> None:
        """Raises TypeError for a type that tells operators nothing to do."""
        super().__init_subclass__()
        if not getattr(cls, "remedy", ""):
            raise TypeError(f"{cls.__name__} has no remedy")

    def told(self) -> str:
        """Both, in one line."""
        return " ".join(f"{self}; {self.remedy}".split())
