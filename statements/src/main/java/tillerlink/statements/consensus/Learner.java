package tillerlink.statements.consensus;

import java.util.function.Consumer;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.statements.Entry;
import tillerlink.messages.statements.StatementMessage;
import tillerlink.messages.statements.StatementMessage.Committed;
import tillerlink.messages.statements.StatementMessage.Fetch;
import tillerlink.messages.statements.StatementMessage.Piece;

/**
 * How a gateway that doesn't vote follows the log: it asks one voter after the other for what is
 * committed.
 */
public final class Learner {
  private static final long AGAIN = 2500;
  private static final long ELSEWHERE = 3000;
  private static final int TIMES_MOST = 6;

  private final Voters voters;
  private final Outbox out;
  private final StateMachine machine;
  private final Consumer<String> notes;
  private final SnapshotFetcher pieces;
  private int asks;
  private int times;
  private long askAt;
  private long heardAt;

  public Learner(
      Voters voters, Outbox out, StateMachine machine, Consumer<String> notes, int first) {
    this.voters = voters;
    this.out = out;
    this.machine = machine;
    this.notes = notes;
    pieces = new SnapshotFetcher(out);
    asks = Math.floorMod(first, voters.count());
  }

  public void turn(long now) {
    pieces.turn(now);
    if (now < askAt) {
      return;
    }
    // One that answers may itself be behind.
    if (now - heardAt > ELSEWHERE || ++times % TIMES_MOST == 0) {
      asks = (asks + 1) % voters.count();
      heardAt = now;
    }
    ask(now);
  }

  private void ask(long now) {
    askAt = now + AGAIN;
    out.send(voters.names().get(asks), new Fetch(machine.applied() + 1));
  }

  public long dueAt() {
    return Math.min(askAt, pieces.dueAt());
  }

  /**
   * @return false if it is none of the log's
   */
  public boolean told(long now, String from, StatementMessage message) {
    if (!voters.has(from)) {
      return false;
    }
    if (message instanceof Committed it) {
      committed(now, from, it);
    } else if (message instanceof Piece it) {
      byte[] whole = pieces.took(now, from, it);
      if (whole != null) {
        install(now, from, whole);
      }
    } else {
      return false;
    }
    return true;
  }

  private void committed(long now, String from, Committed it) {
    if (from.equals(voters.names().get(asks))) {
      heardAt = now;
    }
    if (it.snapshot() > machine.applied()) {
      pieces.start(now, from, it.snapshot(), it.size());
      return;
    }
    long before = machine.applied();
    for (Entry entry : it.entries()) {
      if (entry.index() == machine.applied() + 1 && entry.index() <= it.commit()) {
        machine.apply(entry);
      }
    }
    boolean news = it.entries().isEmpty() || machine.applied() > before;
    if (it.commit() > machine.applied() && news && !pieces.isFetching()) {
      ask(now);
    }
  }

  private void install(long now, String from, byte[] whole) {
    try {
      Snapshot snapshot = Snapshot.read(whole);
      if (snapshot.index() > machine.applied()) {
        machine.install(snapshot.state());
        ask(now);
      }
    } catch (MalformedMessageException e) {
      notes.accept("a snapshot of " + from + " can't be read: " + e.getMessage());
    }
  }
}
