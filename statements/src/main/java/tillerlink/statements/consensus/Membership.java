package tillerlink.statements.consensus;

import java.util.ArrayList;
import java.util.List;
import tillerlink.messages.statements.Command;
import tillerlink.messages.statements.Entry;

/**
 * Which disks vote: those that founded the log, and those that replaced a lost one by a readmission
 * in the log. As with Raft's changes of the configuration, a readmission counts from when it is in
 * the log, committed or not.
 */
final class Membership {
  private static final int NONE = -1;

  private final Voters voters;
  private final Log log;
  private List<Long> founded = List.of();
  private List<Long> members = List.of();
  private long version;

  /** The index of the last readmission behind the snapshot. */
  private long readmission = NONE;

  private int readmittedVoter = NONE;

  Membership(Voters voters, Log log, List<Long> founded) {
    this.voters = voters;
    this.log = log;
    this.founded = founded;
    refresh();
  }

  /** The log was founded with those disks, in the order of the voters' names. */
  void establish(List<Long> disks) {
    founded = List.copyOf(disks);
    refresh();
  }

  /**
   * Reads the members again; called when readmissions were appended or truncated, and after a
   * snapshot.
   */
  void refresh() {
    Snapshot snapshot = log.snapshot();
    members = snapshot.members().isEmpty() ? founded : snapshot.members();
    version = snapshot.version();
    readmission = NONE;
    readmittedVoter = NONE;
    for (long i = log.base() + 1; i <= log.lastIndex(); i++) {
      if (log.get(i).command() instanceof Command.Readmit command
          && i > snapshot.index()
          && voters.contains(command.voter())) {
        readmit(log.get(i), command);
      }
    }
  }

  private void readmit(Entry entry, Command.Readmit command) {
    if (members.isEmpty()) {
      return;
    }
    List<Long> next = new ArrayList<>(members);
    next.set(voters.indexOf(command.voter()), command.disk());
    members = next;
    version = entry.index();
    readmission = entry.index();
    readmittedVoter = voters.indexOf(command.voter());
  }

  /** In the order of the voters' names; empty if nothing is known. */
  List<Long> members() {
    return members;
  }

  /** The members as of an index that is applied. */
  List<Long> membersAt(long applied) {
    Snapshot snapshot = log.snapshot();
    List<Long> result =
        new ArrayList<>(snapshot.members().isEmpty() ? founded : snapshot.members());
    for (long i = Math.max(log.base(), snapshot.index()) + 1; i <= applied; i++) {
      if (log.get(i).command() instanceof Command.Readmit command
          && !result.isEmpty()
          && voters.contains(command.voter())) {
        result.set(voters.indexOf(command.voter()), command.disk());
      }
    }
    return result;
  }

  /** The log index that the members as of an applied index date from. */
  long versionAt(long applied) {
    long result = log.snapshot().version();
    for (long i = Math.max(log.base(), log.snapshot().index()) + 1; i <= applied; i++) {
      result = log.get(i).command() instanceof Command.Readmit ? i : result;
    }
    return result;
  }

  /** The log index that the members date from. */
  long version() {
    return version;
  }

  boolean isMember(int voter, long disk) {
    return voter >= 0 && voter < members.size() && members.get(voter) == disk;
  }

  /** The index of a readmission that is not committed yet, or -1. */
  long pendingReadmission(long commitIndex) {
    return readmission > commitIndex ? readmission : NONE;
  }

  /**
   * The voter whose readmission is pending, or -1: until it is committed it counts for no majority.
   */
  int excludedVoter(long commitIndex) {
    return readmission > commitIndex ? readmittedVoter : NONE;
  }
}
