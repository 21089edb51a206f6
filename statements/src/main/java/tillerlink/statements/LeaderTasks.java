package tillerlink.statements;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Command;
import tillerlink.statements.catalog.Catalog;
import tillerlink.statements.catalog.CatalogEntry;
import tillerlink.statements.consensus.RaftVoter;
import tillerlink.statements.consensus.Voters;
import tillerlink.statements.prepare.Preparer;
import tillerlink.statements.testing.InjectedFault;

/**
 * The tasks that the leader of the log runs without a client's request. It puts a change into
 * effect once a majority of the voters is clear of it, which means that no lease that they granted
 * on the change's groups is valid and that they grant no further ones. It also prepares statements
 * again after changes. A new leader may start tasks again that another leader started, because an
 * entry for a task that is already done has no effect. Times are in tenths of a millisecond.
 */
final class LeaderTasks {
  /** The time after which a task that is not done is started again. */
  private static final long TASK_TIMEOUT = 20_000;

  private final Voters voters;
  private final RaftVoter voter;
  private final Preparer preparer;
  private final boolean skipsConfirmation;

  /**
   * The disk ids of the voters that are clear of a change, by the number of the change and the name
   * of the voter. The disk id counts only while that voter is a member with the same disk.
   */
  private final TreeMap<Long, TreeMap<String, Long>> clearVoters = new TreeMap<>();

  /** The start times of tasks, by a description of the task. */
  private final TreeMap<String, Long> startedAt = new TreeMap<>();

  private long repreparedCount;

  LeaderTasks(StatementsConfig config, Voters voters, RaftVoter voter, Preparer preparer) {
    this.voters = voters;
    this.voter = voter;
    this.preparer = preparer;
    skipsConfirmation = config.raft().injects(InjectedFault.EFFECT_WITHOUT_MAJORITY);
  }

  /**
   * Records a voter's confirmation of the changes that it is clear of. A confirmation is ignored
   * unless the voter is a current member with that disk.
   *
   * @param disk the id of the voter's disk
   * @param changes the numbers of the changes
   */
  void onClear(String from, long disk, List<Long> changes, Catalog catalog) {
    if (voter.isMember(from, disk)) {
      for (long id : changes) {
        if (catalog.waiting().containsKey(id)) {
          clearVoters.computeIfAbsent(id, ignored -> new TreeMap<>()).put(from, disk);
        }
      }
    }
  }

  /** Returns how many statements this gateway prepared again for the cluster. */
  long repreparedCount() {
    return repreparedCount;
  }

  /** Starts the tasks that are due if this gateway leads the log. */
  void tick(long now, Catalog catalog) {
    clearVoters.keySet().retainAll(catalog.waiting().keySet());
    if (!voter.isLeader()) {
      startedAt.clear();
      return;
    }
    startedAt.values().removeIf(at -> now - at > TASK_TIMEOUT);
    catalog.waitingAnew().forEach((entry, change) -> prepareAgain(now, entry, change));
    for (long id : List.copyOf(catalog.waiting().keySet())) {
      if (canTakeEffect(id, catalog) && startTask(now, "effect " + id)) {
        voter.propose(now, 0, 0, new Command.Effect(id));
      }
    }
  }

  private void prepareAgain(long now, CatalogEntry entry, Change change) {
    String name = entry.definition().name();
    if (startTask(now, "anew " + name + " " + entry.generation())) {
      repreparedCount++;
      voter.propose(
          now,
          0,
          0,
          new Command.Anew(
              name,
              entry.generation(),
              preparer.prepareAgain(entry.definition(), change).orElse(null)));
    }
  }

  /**
   * Returns whether the change may take effect now. Changes that share a group take effect one
   * after the other, and the statements of the group are prepared again in between.
   */
  private boolean canTakeEffect(long id, Catalog catalog) {
    SortedMap<Long, Change> waiting = catalog.waiting();
    return !catalog.isBlockedByEarlierChange(id)
        && catalog.waitingAnew().keySet().stream()
            .noneMatch(entry -> waiting.get(id).touches(entry.definition().groups()))
        && (isClear(id) || skipsConfirmation);
  }

  /** Returns whether a majority of the current members is clear of the change. */
  private boolean isClear(long id) {
    return clearVoters.getOrDefault(id, new TreeMap<>()).entrySet().stream()
            .filter(voterDisk -> voter.isMember(voterDisk.getKey(), voterDisk.getValue()))
            .count()
        >= voters.quorum();
  }

  /** Marks the task as started; returns false if it was already started within the timeout. */
  private boolean startTask(long now, String task) {
    return startedAt.putIfAbsent(task, now) == null;
  }

  /** Returns when {@link #tick} is to be called next; {@link Long#MAX_VALUE} without tasks. */
  long nextDueAt() {
    return startedAt.isEmpty()
        ? Long.MAX_VALUE
        : startedAt.values().iterator().next() + TASK_TIMEOUT + 1;
  }
}
