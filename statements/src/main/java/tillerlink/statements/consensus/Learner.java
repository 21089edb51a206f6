package tillerlink.statements.consensus;

import java.util.function.Consumer;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.statements.Entry;
import tillerlink.messages.statements.StatementMessage;
import tillerlink.messages.statements.StatementMessage.Committed;
import tillerlink.messages.statements.StatementMessage.Fetch;
import tillerlink.messages.statements.StatementMessage.Piece;

/**
 * The replica of the log on a gateway that does not vote. It fetches committed entries from one
 * voter at a time and changes to the next voter when one is silent or may be behind. It does no I/O
 * itself and is owned by the gateway's event loop. Times are in tenths of a millisecond.
 */
public final class Learner {
  private static final long FETCH_INTERVAL = 2500;

  /** Time without a response after which the learner changes to the next voter. */
  private static final long VOTER_TIMEOUT = 3000;

  /**
   * Number of fetches after which the learner changes to the next voter, because a voter that
   * responds may itself be behind.
   */
  private static final int FETCHES_PER_VOTER = 6;

  private final Voters voters;
  private final Outbox outbox;
  private final StateMachine machine;
  private final Consumer<String> warnings;
  private final SnapshotFetcher snapshots;
  private int currentVoter;
  private int fetches;
  private long fetchDueAt;
  private long heardAt;

  /**
   * Creates a learner that has not fetched anything yet.
   *
   * @param voters the voters to fetch from
   * @param outbox sends the requests
   * @param machine the state machine that committed entries are applied to
   * @param warnings receives lines for the operator's log
   * @param firstVoter the index of the first voter to fetch from, taken modulo the number of voters
   */
  public Learner(
      Voters voters,
      Outbox outbox,
      StateMachine machine,
      Consumer<String> warnings,
      int firstVoter) {
    this.voters = voters;
    this.outbox = outbox;
    this.machine = machine;
    this.warnings = warnings;
    snapshots = new SnapshotFetcher(outbox);
    currentVoter = Math.floorMod(firstVoter, voters.count());
  }

  /**
   * Sends the fetches that are due; called on each event-loop iteration.
   *
   * @param now the current time, in tenths of a millisecond
   */
  public void tick(long now) {
    snapshots.tick(now);
    if (now < fetchDueAt) {
      return;
    }
    if (now - heardAt > VOTER_TIMEOUT || ++fetches % FETCHES_PER_VOTER == 0) {
      currentVoter = (currentVoter + 1) % voters.count();
      heardAt = now;
    }
    fetch(now);
  }

  private void fetch(long now) {
    fetchDueAt = now + FETCH_INTERVAL;
    outbox.send(voters.names().get(currentVoter), new Fetch(machine.applied() + 1));
  }

  /**
   * Returns the latest time of the next call of {@link #tick}.
   *
   * @return the time, in tenths of a millisecond
   */
  public long nextDueAt() {
    return Math.min(fetchDueAt, snapshots.nextDueAt());
  }

  /**
   * Handles a message of the log's protocol. Ignores other messages, and all messages from gateways
   * that are not voters.
   *
   * @param now the current time, in tenths of a millisecond
   * @param from the name of the sending gateway
   * @param message the message
   */
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
    if (from.equals(voters.names().get(currentVoter))) {
      heardAt = now;
    }
    long appliedBefore = machine.applied();
    if (committed.snapshot() > appliedBefore) {
      snapshots.start(now, from, committed.snapshot(), committed.size());
      return;
    }
    for (Entry entry : committed.entries()) {
      if (entry.index() == machine.applied() + 1 && entry.index() <= committed.commit()) {
        machine.apply(entry);
      }
    }
    boolean progressed = committed.entries().isEmpty() || machine.applied() > appliedBefore;
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
