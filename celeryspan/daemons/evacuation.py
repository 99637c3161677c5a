"""Commands that empty data centres: evacuate, restore, evacuations."""

from __future__ import annotations

from absl import flags

from celeryspan import errors, ids
from celeryspan.daemons import registry
from celeryspan.platform import evacuations, names, objects, servers


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "store", None, "HOST:PORT of the platform's store.", flag_values=values
    )


@registry.command("evacuate", "DATA-CENTRE", define=_define)
def evacuate(arguments: list[str], values: flags.FlagValues) -> registry.Exit:
    """Send nothing more to the servers of a data centre until it is restored.

    Routers apply it within about a second. Requests in progress are not interrupted,
    and the routers of the data centre continue to serve their callers.
    """
    client = objects.ObjectClient(registry.require(values, "store", "HOST:PORT"))
    (name,) = arguments
    known = list_data_centres(client)
    if name not in known:
        raise registry.UsageError(
            f"expected a data centre with servers ({', '.join(known) or 'none'}), "
            f"found {name!r}"
        )
    try:
        client.create(names.EVACUATION_KIND, name, evacuations.write())
    except errors.Conflict:
        print(f"{name} is already evacuated")
        return registry.Exit.DONE
    print(f"{name} is being evacuated")
    return registry.Exit.DONE


@registry.command("restore", "DATA-CENTRE", define=_define)
def restore(arguments: list[str], values: flags.FlagValues) -> registry.Exit:
    """Use the servers of an evacuated data centre again.

    Its servers count as cold at first, so that their load rises over some seconds.
    """
    client = objects.ObjectClient(registry.require(values, "store", "HOST:PORT"))
    (name,) = arguments
    try:
        found = client.get(names.EVACUATION_KIND, name)
        client.delete(names.EVACUATION_KIND, name, found.revision)
    except errors.NotFound:
        print(f"{name} is not evacuated")
        return registry.Exit.FAILED
    except errors.Conflict:
        print("another operator changed the evacuation meanwhile; try again")
        return registry.Exit.CONFLICT
    print(f"{name} is restored")
    return registry.Exit.DONE


@registry.command("evacuations", define=_define)
def list_evacuations(arguments: list[str], values: flags.FlagValues) -> registry.Exit:
    """Show the evacuated data centres, one per line."""
    client = objects.ObjectClient(registry.require(values, "store", "HOST:PORT"))
    listing = client.list_objects(names.EVACUATION_KIND)
    print("\n".join(sorted(each.name for each in listing.objects)) or "none")
    return registry.Exit.DONE


def list_data_centres(client: objects.ObjectClient) -> list[ids.DataCentreId]:
    """Return the data centres of all registered servers."""
    found = set()
    for stored in client.list_objects(names.SERVER_KIND).objects:
        try:
            found.add(servers.read(stored).data_centre)
        except errors.InputError as error:
            print(f"ignored: {error}")
    return sorted(found)
