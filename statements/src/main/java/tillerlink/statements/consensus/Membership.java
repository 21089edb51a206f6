package tillerlink.statements.consensus;

import java.util.ArrayList;
import java.util.List;
import tillerlink.messages.statements.Command;
import tillerlink.messages.statements.Entry;

/**
 * The disks that vote: those that founded the log, except where a readmission in the log replaced a
 * lost disk by a new one. As with Raft's configuration changes, a readmission takes effect as soon
 * as it is in the log, whether it is committed or not.
 */
final class Membership {
  private static final int NONE = -1;

  private final Voters voters;
  private final Log log;
  private List<Long> initialMembers = List.of();
  private List<Long> members = List.of();
  private long version;

  /** The index of the last readmission after the snapshot; -1 if the log has no such entry. */
  private long readmission = NONE;

  private int readmittedVoter = NONE;

  Membership(Voters voters, Log log, List<Long> initialMembers) {
    this.voters = voters;
    this.log = log;
    this.initialMembers = initialMembers;
    refresh();
  }

  /**
   * Sets the members that apply before any readmission in the log.
   *
   * @param disks the disk of each voter, in the order of the voters' names
   */
  void setInitialMembers(List<Long> disks) {
    initialMembers = List.copyOf(disks);
    refresh();
  }

  /**
   * Recomputes the members from the snapshot and the log. Called after readmissions were appended
   * or truncated, and after the snapshot was replaced.
   */
  void refresh() {
    Snapshot snapshot = log.snapshot();
    members = snapshot.members().isEmpty() ? initialMembers : snapshot.members();
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

  /** Returns the members in the order of the voters' names; empty if they are not known yet. */
  List<Long> members() {
    return members;
  }

  /** Returns the members as of an applied index. */
  List<Long> membersAt(long applied) {
    Snapshot snapshot = log.snapshot();
    List<Long> result =
        new ArrayList<>(snapshot.members().isEmpty() ? initialMembers : snapshot.members());
    for (long i = Math.max(log.base(), snapshot.index()) + 1; i <= applied; i++) {
      if (log.get(i).command() instanceof Command.Readmit command
          && !result.isEmpty()
          && voters.contains(command.voter())) {
        result.set(voters.indexOf(command.voter()), command.disk());
      }
    }
    return result;
  }

  /**
   * Returns the index of the entry that last changed the members as of an applied index; 0 if none
   * did.
   */
  long versionAt(long applied) {
    long result = log.snapshot().version();
    for (long i = Math.max(log.base(), log.snapshot().index()) + 1; i <= applied; i++) {
      result = log.get(i).command() instanceof Command.Readmit ? i : result;
    }
    return result;
  }

  /** Returns the index of the entry that last changed the members; 0 if none did. */
  long version() {
    return version;
  }

  boolean isMember(int voter, long disk) {
    return voter >= 0 && voter < members.size() && members.get(voter) == disk;
  }

  /** Returns the index of the uncommitted readmission; -1 if no readmission is pending. */
  long pendingReadmission(long commitIndex) {
    return readmission > commitIndex ? readmission : NONE;
  }

  /**
   * Returns the index of the voter whose readmission is pending; -1 if no readmission is pending.
   * Until the readmission is committed, that voter does not count towards a majority.
   */
  int excludedVoter(long commitIndex) {
    return readmission > commitIndex ? readmittedVoter : NONE;
  }
}
