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
 * What the leader of the log does on its own: it puts a change into effect once a majority of the
 * voters is clear of it, and prepares statements again after changes. A new leader starts such
 * tasks once more; an entry for a task that is done already has no effect. Times are in tenths of a
 * millisecond.
 */
final class LeaderTasks {
  /** A task that is not done by then is started again. */
  private static final long TASK_TIMEOUT = 20_000;

  private final Voters voters;
  private final RaftVoter voter;
  private final Preparer preparer;
  private final boolean skipsConfirmation;

  /** The disks of the voters that are clear of a change, by its number and the voter's name. */
  private final TreeMap<Long, TreeMap<String, Long>> clear = new TreeMap<>();

  /** When each task was started. */
  private final TreeMap<String, Long> started = new TreeMap<>();

  private long repreparedCount;

  LeaderTasks(StatementsConfig config, Voters voters, RaftVoter voter, Preparer preparer) {
    this.voters = voters;
    this.voter = voter;
    this.preparer = preparer;
    skipsConfirmation = config.raft().injects(InjectedFault.EFFECT_WITHOUT_MAJORITY);
  }

  /** A voter confirms which changes it is clear of. */
  void onClear(String from, long disk, List<Long> changes, Catalog catalog) {
    if (voter.isMember(from, disk)) {
      for (long id : changes) {
        if (catalog.waiting().containsKey(id)) {
          clear.computeIfAbsent(id, any -> new TreeMap<>()).put(from, disk);
        }
      }
    }
  }

  /** How many statements this gateway prepared again for the cluster. */
  long repreparedCount() {
    return repreparedCount;
  }

  void tick(long now, Catalog catalog) {
    clear.keySet().retainAll(catalog.waiting().keySet());
    if (!voter.isLeader()) {
      started.clear();
      return;
    }
    started.values().removeIf(at -> now - at > TASK_TIMEOUT);
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

  /** Changes that share a group take effect one after the other, statements prepared in between. */
  private boolean canTakeEffect(long id, Catalog catalog) {
    SortedMap<Long, Change> waiting = catalog.waiting();
    return !catalog.isBehindAnother(id)
        && catalog.waitingAnew().keySet().stream()
            .noneMatch(entry -> waiting.get(id).touches(entry.definition().groups()))
        && (isClear(id) || skipsConfirmation);
  }

  /** Whether a majority of the current members is clear of the change. */
  private boolean isClear(long id) {
    return clear.getOrDefault(id, new TreeMap<>()).entrySet().stream()
            .filter(each -> voter.isMember(each.getKey(), each.getValue()))
            .count()
        >= voters.quorum();
  }

  private boolean startTask(long now, String task) {
    return started.putIfAbsent(task, now) == null;
  }

  long nextDueAt() {
    return started.isEmpty()
        ? Long.MAX_VALUE
        : started.values().iterator().next() + TASK_TIMEOUT + 1;
  }
}
