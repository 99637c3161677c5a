"""Reads values from YAML files; names all faults of a file at once."""

from __future__ import annotations

import pathlib
from typing import Any, TypeVar

import yaml

from celeryspan import errors, faults, validators

FILE_BYTES_MAX = 8 << 20
"""Largest file that is read; the register of 10,000 servers has about 1.5 MB."""

LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
"""The parser in C where there is one: the register of 10,000 servers takes 1.9 s of a
core to check with it, 4.8 s without."""

ModelType = TypeVar("ModelType")
Place = faults.Place


class Document:
    """One YAML file: its values, and where each of them stands.

    Parameters
    ----------
    path : str or Path
        The file; its name begins each fault.

    Attributes
    ----------
    values : object
        What the file holds, or None.
    faults : list of InputError
        What is wrong so far; :meth:`validate` and checks add to them.

    Raises
    ------
    ExceptionGroup
        Of the faults, if the values can't be read.
    """

    def __init__(self, path: str | pathlib.Path) -> None:
        self.path = str(path)
        self.values: Any = None
        self.faults: list[errors.InputError] = []
        self._lines: dict[Place, int] = {}
        self._visited: set[int] = set()
        self._readable = True
        node = self._compose(_read_text(self.path))
        if node is not None:
            self._visit(node, ())
        if node is not None and self._readable:
            self.values = self._construct(node)
        if not self._readable:
            raise_faults(self.path, self.faults)

    def add_fault(self, place: Place, message: str) -> None:
        """Note a fault with its file, line and key path."""
        known = place
        while known and known not in self._lines:
            known = known[:-1]
        line = self._lines.get(known, 1)
        self.faults.append(
            errors.InputError(
                message, key=self.name_place(place), peer=f"{self.path}:{line}"
            )
        )

    def name_place(self, place: Place) -> str:
        """Return a key path in which entries of lists also have their names."""
        text, value = "", self.values
        for part in place:
            value = _step_into(value, part)
            if isinstance(part, int):
                name = value.get("name") if isinstance(value, dict) else None
                text += f"[{part} {name}]" if isinstance(name, str) else f"[{part}]"
            else:
                text += f".{part}" if text else part
        return text

    def validate(self, model: type[ModelType]) -> ModelType | None:
        """Return the values as a model, or None after noting the faults."""
        if not isinstance(self.values, dict):
            found = (
                "an empty file"
                if self.values is None
                else validators.quote(self.values)
            )
            self.add_fault((), f"expected keys with values, found {found}")
            return None
        values, found = validators.validate(model, self.values)
        self.check(found)
        return values

    def check(self, found: list[faults.Fault]) -> None:
        """Note the faults that checks have found."""
        for fault in found:
            self.add_fault(fault.place, fault.message)

    def get_data(self) -> faults.Data:
        """Return the values for the checks; none if they are not keyed."""
        return self.values if isinstance(self.values, dict) else {}

    def _compose(self, text: str) -> yaml.Node | None:
        try:
            return yaml.compose(text, Loader=LOADER)
        except (yaml.YAMLError, RecursionError) as error:
            self._note_syntax(error)
            return None

    def _construct(self, node: yaml.Node) -> object:
        try:
            return yaml.SafeLoader("").construct_document(node)
        except (yaml.YAMLError, RecursionError, ValueError) as error:
            self._note_syntax(error)
            return None

    def _note_syntax(self, error: Exception) -> None:
        mark = getattr(error, "problem_mark", None)
        self._lines[()] = mark.line + 1 if mark else 1
        self._readable = False
        problem = getattr(error, "problem", None) or str(error)
        self.add_fault((), f"expected plain YAML, found a fault: {problem}")

    def _visit(self, node: yaml.Node, place: Place) -> None:
        """Note lines, and refuse keys that stand twice and values shared by aliases.

        A plain YAML loader keeps the last of two equal keys in silence: a weight or a
        retirement that an operator reads in the file would not be in force. A value
        that aliases repeat may grow beyond the memory.
        """
        self._lines[place] = node.start_mark.line + 1
        if isinstance(node, yaml.SequenceNode):
            for index, item in enumerate(node.value):
                self._visit_once(item, (*place, index))
        if not isinstance(node, yaml.MappingNode):
            return
        seen: dict[str, int] = {}
        for key_node, value_node in node.value:
            key = str(key_node.value)
            inner = (*place, key)
            line = key_node.start_mark.line + 1
            if key in seen:
                self._lines[inner] = line
                message = f"expected each key once, found it in line {seen[key]} too"
                self.add_fault(inner, message)
                continue
            seen[key] = line
            self._visit_once(value_node, inner)
            self._lines[inner] = line

    def _visit_once(self, node: yaml.Node, place: Place) -> None:
        if id(node) not in self._visited:
            self._visited.add(id(node))
            self._visit(node, place)
            return
        self._readable = False
        self.add_fault(place, "expected a value written out, found an alias")


def read_file(path: str | pathlib.Path, model: type[ModelType]) -> ModelType:
    """Return the settings in a file as a model of :class:`settings.Settings`.

    Raises
    ------
    ExceptionGroup
        Of one InputError for each fault.
    """
    document = Document(path)
    values = document.validate(model)
    document.check(faults.check_settings(document.get_data()))
    raise_faults(document.path, document.faults)
    assert values is not None
    return values


def list_faults(error: BaseException) -> list[str]:
    """Return one line for each fault in an error or a group of errors."""
    if isinstance(error, BaseExceptionGroup):
        return [line for inner in error.exceptions for line in list_faults(inner)]
    return [" ".join(str(error).split())]


def raise_faults(subject: str, faults: list[Exception]) -> None:
    """Raise all faults as one group, if there are any."""
    if faults:
        raise ExceptionGroup(f"{subject}: {len(faults)} fault(s)", faults)


def _read_text(path: str) -> str:
    try:
        with open(path, "rb") as file:
            content = file.read(FILE_BYTES_MAX + 1)
        if len(content) > FILE_BYTES_MAX:
            raise ValueError(f"more than {FILE_BYTES_MAX} bytes")
        return content.decode()
    except OSError as error:
        message = f"expected a file to read, found: {error.strerror}"
    except ValueError as error:
        message = f"expected UTF-8 text of at most 8 MiB, found: {error}"
    fault = errors.InputError(message, peer=path)
    raise ExceptionGroup(f"{path}: 1 fault(s)", [fault])


def _step_into(value: object, part: str | int) -> object:
    if isinstance(value, dict):
        return value.get(part)
    if isinstance(value, list) and isinstance(part, int) and part < len(value):
        return value[part]
    return None
