package tillerlink.statements.consensus;

import java.util.function.Consumer;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.statements.Entry;
import tillerlink.messages.statements.StatementMessage;
import tillerlink.messages.statements.StatementMessage.Committed;
import tillerlink.messages.statements.StatementMessage.Fetch;
import tillerlink.messages.statements.StatementMessage.Piece;

/**
 * Follows the log on a gateway that does not vote: it asks one voter after the other for committed
 * entries. It does no I/O itself and is owned by the gateway's event loop. Times are in tenths of a
 * millisecond.
 */
public final class Learner {
  private static final long FETCH_INTERVAL = 2500;

  /** How long a voter may be silent before the next one is asked. */
  private static final long VOTER_TIMEOUT = 3000;

  /** After so many fetches another voter is asked: one that responds may itself be behind. */
  private static final int FETCHES_PER_VOTER = 6;

  private final Voters voters;
  private final Outbox outbox;
  private final StateMachine machine;
  private final Consumer<String> warnings;
  private final SnapshotFetcher snapshots;
  private int current;
  private int fetches;
  private long fetchDueAt;
  private long heardAt;

  /**
   * Sets up a learner.
   *
   * @param warnings lines for the operator's log
   * @param first the index of the voter to ask first, modulo their number
   */
  public Learner(
      Voters voters, Outbox outbox, StateMachine machine, Consumer<String> warnings, int first) {
    this.voters = voters;
    this.outbox = outbox;
    this.machine = machine;
    this.warnings = warnings;
    snapshots = new SnapshotFetcher(outbox);
    current = Math.floorMod(first, voters.count());
  }

  /** Runs what is due; called on each event-loop iteration. */
  public void tick(long now) {
    snapshots.tick(now);
    if (now < fetchDueAt) {
      return;
    }
    if (now - heardAt > VOTER_TIMEOUT || ++fetches % FETCHES_PER_VOTER == 0) {
      current = (current + 1) % voters.count();
      heardAt = now;
    }
    fetch(now);
  }

  private void fetch(long now) {
    fetchDueAt = now + FETCH_INTERVAL;
    outbox.send(voters.names().get(current), new Fetch(machine.applied() + 1));
  }

  /** When {@link #tick} is to be called next, at the latest. */
  public long nextDueAt() {
    return Math.min(fetchDueAt, snapshots.nextDueAt());
  }

  /** Takes a message of the log's protocol; others are ignored, and those of other gateways. */
  public void onMessage(long now, String from, StatementMessage message) {
    if (!voters.contains(from)) {
      return;
    }
    if (message instanceof Committed committed) {
      onCommitted(now, from, committed);
    } else if (message instanceof Piece piece) {
      snapshots.onPiece(now, from, piece).ifPresent(bytes -> install(now, from, bytes));
    }
  }

  private void onCommitted(long now, String from, Committed committed) {
    if (from.equals(voters.names().get(current))) {
      heardAt = now;
    }
    long before = machine.applied();
    if (committed.snapshot() > before) {
      snapshots.start(now, from, committed.snapshot(), committed.size());
      return;
    }
    for (Entry entry : committed.entries()) {
      if (entry.index() == machine.applied() + 1 && entry.index() <= committed.commit()) {
        machine.apply(entry);
      }
    }
    boolean progressed = committed.entries().isEmpty() || machine.applied() > before;
    if (committed.commit() > machine.applied() && progressed && !snapshots.isFetching()) {
      fetch(now);
    }
  }

  private void install(long now, String from, byte[] bytes) {
    try {
      Snapshot snapshot = Snapshot.read(bytes);
      if (snapshot.index() > machine.applied()) {
        machine.install(snapshot.state());
        fetch(now);
      }
    } catch (MalformedMessageException e) {
      warnings.accept("snapshot from " + from + " cannot be decoded: " + e.getMessage());
    }
  }
}
