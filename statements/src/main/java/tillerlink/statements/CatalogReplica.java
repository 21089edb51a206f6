package tillerlink.statements;

import java.util.List;
import java.util.Map;
import tillerlink.cluster.Invariant;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Command;
import tillerlink.messages.statements.Entry;
import tillerlink.statements.catalog.Catalog;
import tillerlink.statements.catalog.CatalogEntry;
import tillerlink.statements.catalog.Outcome;
import tillerlink.statements.catalog.Snapshots;
import tillerlink.statements.consensus.StateMachine;
import tillerlink.statements.lease.LeaseHolder;

/** The gateway's copy of the catalog; it is the state machine of the replicated log. */
final class CatalogReplica implements StateMachine {
  /**
   * A listener that is called when a log entry has put a change into effect. It is not called for a
   * change that arrives in a snapshot.
   */
  interface EffectListener {
    void onChangeEffective(long now, long id, Change change);
  }

  private final EventClock clock;
  private final LeaseHolder leases;
  private final RequestQueue requests;
  private Catalog catalog = new Catalog();
  private EffectListener listener = (now, id, change) -> {};

  CatalogReplica(EventClock clock, LeaseHolder leases, RequestQueue requests) {
    this.clock = clock;
    this.leases = leases;
    this.requests = requests;
  }

  void setEffectListener(EffectListener effectListener) {
    listener = effectListener;
  }

  Catalog catalog() {
    return catalog;
  }

  @Override
  public void apply(Entry entry) {
    if (entry.command() instanceof Command.Effect effect) {
      applyEffect(entry, effect.change());
    } else {
      catalog.apply(entry);
    }
    requests.onCatalogChanged(clock.now(), catalog);
  }

  private void applyEffect(Entry entry, long id) {
    Change change = catalog.waiting().get(id);
    Outcome outcome = catalog.apply(entry);
    if (outcome.verdict() == Outcome.Verdict.DONE && change != null) {
      leases.onChangeEffective(clock.now(), change.groups());
      listener.onChangeEffective(clock.now(), id, change);
    }
  }

  @Override
  public long applied() {
    return catalog.applied();
  }

  @Override
  public byte[] state() {
    return Snapshots.write(catalog);
  }

  @Override
  public void install(byte[] state) throws MalformedMessageException {
    Catalog installed = Snapshots.read(state);
    for (Map.Entry<Integer, Long> groupVersion : installed.versions().entrySet()) {
      if (groupVersion.getValue() > catalog.version(groupVersion.getKey())) {
        leases.onChangeEffective(clock.now(), List.of(groupVersion.getKey()));
      }
    }
    installed.statements().values().forEach(this::checkGeneration);
    catalog = installed;
    requests.onCatalogChanged(clock.now(), catalog);
  }

  /** Checks that a snapshot does not replace a statement by an earlier generation of it. */
  private void checkGeneration(CatalogEntry installed) {
    String name = installed.definition().name();
    long previousGeneration = catalog.find(name).map(CatalogEntry::generation).orElse(0L);
    Invariant.holds(
        previousGeneration <= installed.generation(),
        () ->
            "generation of statement "
                + name
                + " decreases from "
                + previousGeneration
                + " to "
                + installed.generation()
                + " in a snapshot");
  }
}
