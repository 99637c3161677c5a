"""Read settings, register and rules; all faults of the files are named at once."""

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
    """Return register and rules, each valid and both fitting together.

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
    entries, added = documents
    valid_register = entries.validate(register.Register)
    entries.check(checks.check_register(entries.get_data()))
    valid_rules = added.validate(rules.Rules)
    added.check(checks.check_rules(entries.get_data(), added.get_data()))
    yamlfiles.raise_faults(subject, entries.faults + added.faults)
    assert valid_register is not None and valid_rules is not None
    return valid_register, valid_rules
