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

/** The validation of clients' requests to change the catalog; valid requests are queued. */
final class StatementRequests {
  /** The maximum size in bytes of an encoded entry without its command. */
  private static final int ENTRY_OVERHEAD_BYTES = 100;

  private final EventClock clock;
  private final CatalogReplica replica;
  private final RequestQueue queue;

  StatementRequests(EventClock clock, CatalogReplica replica, RequestQueue queue) {
    this.clock = clock;
    this.replica = replica;
    this.queue = queue;
  }

  /**
   * Requests that a statement is prepared under the schema versions known to this gateway.
   *
   * @param expectedGeneration the generation that it replaces, 0 if the name must be free, -1 for
   *     any
   */
  void prepare(Definition definition, long expectedGeneration, Consumer<Outcome> onOutcome) {
    try {
      Definitions.check(definition);
    } catch (IllegalArgumentException e) {
      onOutcome.accept(Outcome.refused(e.getMessage()));
      return;
    }
    Catalog catalog = replica.catalog();
    TreeMap<Integer, Long> versions = new TreeMap<>();
    definition.groups().forEach(group -> versions.put(group, catalog.version(group)));
    submit(new Command.Prepare(definition, versions, expectedGeneration), onOutcome);
  }

  /** Requests that a change of the schema is announced. */
  void announce(Change change, Consumer<Outcome> onOutcome) {
    try {
      Definitions.check(change);
    } catch (IllegalArgumentException e) {
      onOutcome.accept(Outcome.refused(e.getMessage()));
      return;
    }
    submit(new Command.Announce(change), onOutcome);
  }

  /** Queues a command, or refuses it if it does not fit into a log entry. */
  void submit(Command command, Consumer<Outcome> onOutcome) {
    if (CommandCodec.command(command).done().length > Entry.MAX_BYTES - ENTRY_OVERHEAD_BYTES) {
      onOutcome.accept(Outcome.refused("it is too long"));
    } else {
      queue.add(clock.now(), command, onOutcome);
    }
  }
}
