package tillerlink.statements.consensus;

import java.util.Arrays;
import java.util.function.BiConsumer;
import tillerlink.messages.statements.StatementMessage.Appended;
import tillerlink.statements.testing.InjectedFault;

/** What a leader knows of the others, and what is committed by it. */
final class LeaderState {
  private static final long SEND_AGAIN = 2000;
  private static final int UNCOMMITTED_MOST = 512;

  /** A voter of which nothing was heard for so long may be replaced by its new disk. */
  private static final long SILENT_LEAST = 15_000;

  private final Voters voters;
  private final int self;
  private final RaftConfig terms;
  private final Log log;
  private final Membership membership;
  private final Progress[] others;
  private long sequence;
  private long beatAt;
  private boolean leads;

  LeaderState(Voters voters, int self, RaftConfig terms, Log log, Membership membership) {
    this.voters = voters;
    this.self = self;
    this.terms = terms;
    this.log = log;
    this.membership = membership;
    others = new Progress[voters.count()];
  }

  void start(long now) {
    for (int i = 0; i < others.length; i++) {
      others[i] = new Progress(log.lastIndex() + 1, now);
    }
    beatAt = now;
    leads = true;
  }

  long nextSequence() {
    return ++sequence;
  }

  boolean hasRoom(long commit) {
    return log.lastIndex() - commit < UNCOMMITTED_MOST;
  }

  long dueAt() {
    return beatAt;
  }

  /** The others are to hear of what is committed. */
  void beatSoon() {
    beatAt = Math.min(beatAt, 0);
  }

  /**
   * Sends what is due: to all at a heartbeat, else to those that lack entries and owe no answer.
   */
  void replicate(long now, BiConsumer<String, Progress> send) {
    boolean beat = now >= beatAt;
    for (int i = 0; i < others.length; i++) {
      if (i == self) {
        continue;
      }
      Progress it = others[i];
      boolean lacks = it.next <= log.lastIndex() && (!it.waiting || now >= it.sentAt + SEND_AGAIN);
      if (beat || lacks) {
        send.accept(voters.names().get(i), it);
      }
    }
    if (beat) {
      beatAt = now + RaftVoter.HEARTBEAT;
    }
  }

  void acknowledged(long now, int place, Appended ack) {
    Progress it = others[place];
    it.heard(now);
    if (ack.fits()) {
      it.match = Math.max(it.match, Math.min(ack.match(), log.lastIndex()));
      it.next = Math.max(it.next, it.match + 1);
      if (ack.match() < it.next - 1 && ack.sequence() == it.sequence) {
        it.next = it.match + 1;
      }
    } else {
      long before = it.next;
      it.next = Math.max(it.match + 1, Math.min(it.next - 1, ack.match() + 1));
      // What brings nothing is not sent again at once.
      it.waiting = it.next >= before;
    }
  }

  /** Too long unheard by a majority: others may have a leader by now. */
  boolean lostMajority(long now) {
    int heard = 1;
    for (int i = 0; i < others.length; i++) {
      heard += i != self && now - others[i].heardAt < 2 * RaftVoter.ELECTION_LEAST ? 1 : 0;
    }
    return heard < voters.quorum();
  }

  /**
   * How far a majority has the log, if that settles it: only by an entry of the leader's own term.
   */
  long committed(long commit, long term) {
    long[] has = new long[others.length];
    for (int i = 0; i < others.length; i++) {
      has[i] = i == self ? log.durable() : others[i].match;
    }
    long most = terms.has(InjectedFault.COMMITS_ALONE) ? log.durable() : agreed(has);
    long pending = membership.pending(commit);
    if (pending > 0 && most >= pending) {
      has[membership.excluded(commit)] = 0;
      most = Math.min(most, Math.max(pending - 1, agreed(has)));
    }
    boolean settles = log.term(most) == term || terms.has(InjectedFault.COMMITS_OLD_TERMS);
    return most > commit && settles ? most : commit;
  }

  private long agreed(long[] has) {
    long[] sorted = has.clone();
    Arrays.sort(sorted);
    return sorted[sorted.length - voters.quorum()];
  }

  void forget(int place) {
    if (others[place] != null) {
      others[place].forget();
    }
  }

  long matchOf(int place) {
    return others[place] == null ? 0 : others[place].match;
  }

  /**
   * One at a time, behind an entry of the own term that is committed, and not while the old disk is
   * heard of.
   */
  boolean mayReadmit(long now, int place, long commit, long term) {
    return leads
        && membership.pending(commit) < 0
        && log.term(commit) == term
        && now - others[place].heardAt > SILENT_LEAST;
  }
}
