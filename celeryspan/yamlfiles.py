"""Reads values from YAML files and reports all faults of a file at once."""

from __future__ import annotations

import pathlib
from typing import Any, TypeVar

import yaml

from celeryspan import errors, faults, validators

FILE_BYTES_MAX = 8 << 20
"""Maximum size of a file; a register of 10,000 servers has about 1.5 MB."""

LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
"""The C parser if available: checking a register of 10,000 servers takes 1.9 s of CPU
time with it and 4.8 s without."""

ModelType = TypeVar("ModelType")
KeyPath = faults.KeyPath


class Document:
    """A YAML file: its values and their line numbers.

    Parameters
    ----------
    path : str or Path
        The file; each fault begins with its name.

    Attributes
    ----------
    values : object
        The parsed values, or None.
    faults : list of InputError
        Faults found so far; :meth:`validate` and :meth:`check` add to them.

    Raises
    ------
    ExceptionGroup
        Of the faults, if the file can't be parsed.
    """

    def __init__(self, path: str | pathlib.Path) -> None:
        self.path = str(path)
        self.values: Any = None
        self.faults: list[errors.InputError] = []
        self._lines: dict[KeyPath, int] = {}
        self._visited: set[int] = set()
        self._readable = True
        node = self._compose(_read_text(self.path))
        if node is not None:
            self._visit(node, ())
        if node is not None and self._readable:
            self.values = self._construct(node)
        if not self._readable:
            raise_faults(self.path, self.faults)

    def add_fault(self, key_path: KeyPath, message: str) -> None:
        """Add a fault with its file, line and key path."""
        ancestor = key_path
        while ancestor and ancestor not in self._lines:
            ancestor = ancestor[:-1]
        line = self._lines.get(ancestor, 1)
        self.faults.append(
            errors.InputError(
                message, key=self.format_key_path(key_path), peer=f"{self.path}:{line}"
            )
        )

    def format_key_path(self, key_path: KeyPath) -> str:
        """Return a key path as text; entries of lists are shown with their names."""
        text, value = "", self.values
        for part in key_path:
            value = _get_child(value, part)
            if isinstance(part, int):
                name = value.get("name") if isinstance(value, dict) else None
                text += f"[{part} {name}]" if isinstance(name, str) else f"[{part}]"
            else:
                text += f".{part}" if text else part
        return text

    def validate(self, model: type[ModelType]) -> ModelType | None:
        """Return the values as a model, or None after adding their faults."""
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
        """Add the faults that checks have found."""
        for fault in found:
            self.add_fault(fault.key_path, fault.message)

    def get_data(self) -> faults.Data:
        """Return the values for the checks; empty if the file is not a mapping."""
        return self.values if isinstance(self.values, dict) else {}

    def _compose(self, text: str) -> yaml.Node | None:
        try:
            return yaml.compose(text, Loader=LOADER)
        except (yaml.YAMLError, RecursionError) as error:
            self._add_syntax_fault(error)
            return None

    def _construct(self, node: yaml.Node) -> object:
        try:
            return yaml.SafeLoader("").construct_document(node)
        except (yaml.YAMLError, RecursionError, ValueError) as error:
            self._add_syntax_fault(error)
            return None

    def _add_syntax_fault(self, error: Exception) -> None:
        mark = getattr(error, "problem_mark", None)
        self._lines[()] = mark.line + 1 if mark else 1
        self._readable = False
        problem = getattr(error, "problem", None) or str(error)
        self.add_fault((), f"expected plain YAML, found a fault: {problem}")

    def _visit(self, node: yaml.Node, key_path: KeyPath) -> None:
        """Record line numbers, and reject duplicate keys and aliases.

        A plain YAML loader silently keeps the last of two equal keys, so a weight or a
        retirement that an operator sees in the file might not be in force. Nested
        aliases can expand a small file until memory is exhausted.
        """
        self._lines[key_path] = node.start_mark.line + 1
        if isinstance(node, yaml.SequenceNode):
            for index, item in enumerate(node.value):
                self._visit_once(item, (*key_path, index))
        if not isinstance(node, yaml.MappingNode):
            return
        seen: dict[str, int] = {}
        for key_node, value_node in node.value:
            key = str(key_node.value)
            inner = (*key_path, key)
            line = key_node.start_mark.line + 1
            if key in seen:
                self._lines[inner] = line
                message = f"expected each key once, found it in line {seen[key]} too"
                self.add_fault(inner, message)
                continue
            seen[key] = line
            self._visit_once(value_node, inner)
            self._lines[inner] = line

    def _visit_once(self, node: yaml.Node, key_path: KeyPath) -> None:
        if id(node) not in self._visited:
            self._visited.add(id(node))
            self._visit(node, key_path)
            return
        self._readable = False
        self.add_fault(key_path, "expected a value written out, found an alias")


def read_file(path: str | pathlib.Path, model: type[ModelType]) -> ModelType:
    """Return the settings in a file as an instance of a settings model.

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
    """Return one line for each fault in an error or an exception group."""
    if isinstance(error, BaseExceptionGroup):
        return [line for inner in error.exceptions for line in list_faults(inner)]
    return [" ".join(str(error).split())]


def raise_faults(subject: str, faults: list[Exception]) -> None:
    """Raise all faults as one exception group, if there are any."""
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


def _get_child(value: object, part: str | int) -> object:
    if isinstance(value, dict):
        return value.get(part)
    if isinstance(value, list) and isinstance(part, int) and part < len(value):
        return value[part]
    return None
