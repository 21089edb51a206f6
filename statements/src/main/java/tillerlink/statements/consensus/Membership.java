package tillerlink.statements.consensus;

import java.util.ArrayList;
import java.util.List;
import tillerlink.messages.statements.Command;
import tillerlink.messages.statements.Entry;

/**
 * Which disks vote: those of the founding, and those that took the place of a lost one by an entry
 * of the log, which counts from when it is in the log.
 */
final class Membership {
  private final Voters voters;
  private final Log log;
  private List<Long> founded = List.of();
  private List<Long> members = List.of();
  private long version;

  /**
   * The index of the last entry that readmits a voter, and who it is; -1 if there is none behind
   * the snapshot.
   */
  private long readmission = -1;

  private int readmitted = -1;

  Membership(Voters voters, Log log, List<Long> founded) {
    this.voters = voters;
    this.log = log;
    this.founded = founded;
    changed();
  }

  void found(List<Long> disks) {
    founded = List.copyOf(disks);
    changed();
  }

  /** To be called when entries that readmit came or went, and after a snapshot. */
  void changed() {
    Snapshot snapshot = log.snapshot();
    members = snapshot.members().isEmpty() ? founded : snapshot.members();
    version = snapshot.version();
    readmission = -1;
    readmitted = -1;
    for (long i = log.base() + 1; i <= log.lastIndex(); i++) {
      if (log.get(i).command() instanceof Command.Readmit it
          && i > snapshot.index()
          && voters.has(it.voter())) {
        readmit(log.get(i), it);
      }
    }
  }

  private void readmit(Entry entry, Command.Readmit it) {
    if (members.isEmpty()) {
      return;
    }
    List<Long> next = new ArrayList<>(members);
    next.set(voters.place(it.voter()), it.disk());
    members = next;
    version = entry.index();
    readmission = entry.index();
    readmitted = voters.place(it.voter());
  }

  /** In the order of the voters' names; empty if nothing is known. */
  List<Long> members() {
    return members;
  }

  /** The members as of an index that is applied. */
  List<Long> membersAt(long applied) {
    Snapshot snapshot = log.snapshot();
    List<Long> then = new ArrayList<>(snapshot.members().isEmpty() ? founded : snapshot.members());
    for (long i = Math.max(log.base(), snapshot.index()) + 1; i <= applied; i++) {
      if (log.get(i).command() instanceof Command.Readmit it
          && !then.isEmpty()
          && voters.has(it.voter())) {
        then.set(voters.place(it.voter()), it.disk());
      }
    }
    return then;
  }

  long versionAt(long applied) {
    long then = log.snapshot().version();
    for (long i = Math.max(log.base(), log.snapshot().index()) + 1; i <= applied; i++) {
      then = log.get(i).command() instanceof Command.Readmit ? i : then;
    }
    return then;
  }

  long version() {
    return version;
  }

  boolean isMember(int place, long disk) {
    return place >= 0 && place < members.size() && members.get(place) == disk;
  }

  /** The index of a readmission that is not yet committed, or -1. */
  long pending(long commit) {
    return readmission > commit ? readmission : -1;
  }

  /** Whose readmission is pending: it counts for nothing up to then. */
  int excluded(long commit) {
    return readmission > commit ? readmitted : -1;
  }
}
