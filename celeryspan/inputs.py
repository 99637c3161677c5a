"""Reads settings, register and rules, and reports all faults of the files at once."""

from __future__ import annotations

import pathlib

from celeryspan import checks, register, rules, settings, yamlfiles


def read_settings(path: str | pathlib.Path) -> settings.Settings:
    """Return the settings in a file.

    Raises
    ------
    ExceptionGroup
        Of one InputError for each fault.
    """
    return yamlfiles.read_file(path, settings.Settings)


def read_register_and_rules(
    register_path: str | pathlib.Path, rules_path: str | pathlib.Path
) -> tuple[register.Register, rules.Rules]:
    """Return register and rules after checking each of them and both together.

    Raises
    ------
    ExceptionGroup
        Of one InputError for each fault of both files.
    """
    subject = f"{register_path} and {rules_path}"
    unreadable: list[Exception] = []
    documents: list[yamlfiles.Document] = []
    for path in (register_path, rules_path):
        try:
            documents.append(yamlfiles.Document(path))
        except ExceptionGroup as group:
            unreadable.extend(group.exceptions)
    if unreadable:
        found = [fault for document in documents for fault in document.faults]
        yamlfiles.raise_faults(subject, [*unreadable, *found])
    register_file, rules_file = documents
    valid_register = register_file.validate(register.Register)
    register_file.check(checks.check_register(register_file.get_data()))
    valid_rules = rules_file.validate(rules.Rules)
    rules_file.check(
        checks.check_rules(register_file.get_data(), rules_file.get_data())
    )
    yamlfiles.raise_faults(subject, register_file.faults + rules_file.faults)
    assert valid_register is not None and valid_rules is not None
    return valid_register, valid_rules
