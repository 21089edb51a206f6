package tillerlink.statements;

import java.util.TreeMap;
import java.util.function.Consumer;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Command;
import tillerlink.messages.statements.CommandCodec;
import tillerlink.messages.statements.Definition;
import tillerlink.messages.statements.Entry;
import tillerlink.statements.catalog.Catalog;
import tillerlink.statements.catalog.Outcome;
import tillerlink.statements.prepare.Definitions;

/** Checks clients' requests to change the catalog, and queues those that are in order. */
final class StatementRequests {
  /** Bytes of an entry besides its command, at most. */
  private static final int ENTRY_OVERHEAD = 100;

  private final EventClock clock;
  private final CatalogReplica replica;
  private final RequestQueue queue;

  StatementRequests(EventClock clock, CatalogReplica replica, RequestQueue queue) {
    this.clock = clock;
    this.replica = replica;
    this.queue = queue;
  }

  void prepare(Definition definition, long over, Consumer<Outcome> onOutcome) {
    try {
      Definitions.check(definition);
    } catch (IllegalArgumentException e) {
      onOutcome.accept(Outcome.refused(e.getMessage()));
      return;
    }
    Catalog catalog = replica.catalog();
    TreeMap<Integer, Long> versions = new TreeMap<>();
    definition.groups().forEach(group -> versions.put(group, catalog.version(group)));
    submit(new Command.Prepare(definition, versions, over), onOutcome);
  }

  void announce(Change change, Consumer<Outcome> onOutcome) {
    try {
      Definitions.check(change);
    } catch (IllegalArgumentException e) {
      onOutcome.accept(Outcome.refused(e.getMessage()));
      return;
    }
    submit(new Command.Announce(change), onOutcome);
  }

  void submit(Command command, Consumer<Outcome> onOutcome) {
    if (CommandCodec.command(command).done().length > Entry.MAX_BYTES - ENTRY_OVERHEAD) {
      onOutcome.accept(Outcome.refused("it is too long"));
    } else {
      queue.add(clock.now(), command, onOutcome);
    }
  }
}
