package tillerlink.statements;

import java.util.List;
import java.util.TreeMap;
import tillerlink.messages.statements.Command;
import tillerlink.statements.catalog.Catalog;
import tillerlink.statements.consensus.RaftVoter;
import tillerlink.statements.consensus.Voters;
import tillerlink.statements.prepare.Preparer;
import tillerlink.statements.testing.InjectedFault;

/**
 * What the leader of the log does of itself: it lets a change take effect once a majority of the
 * voters is clear of it, and has statements prepared anew. What a leader of before began is begun
 * again, and is void if it was done.
 */
final class LeaderTasks {
  private static final long AGAIN = 20_000;

  private final Voters voters;
  private final RaftVoter consensus;
  private final Preparer preparer;
  private final boolean unasked;

  /** By the numbers of changes. */
  private final TreeMap<Long, TreeMap<String, Long>> clear = new TreeMap<>();

  private final TreeMap<String, Long> begun = new TreeMap<>();
  private long preparedAnew;

  LeaderTasks(StatementTerms terms, Voters voters, RaftVoter consensus, Preparer preparer) {
    this.voters = voters;
    this.consensus = consensus;
    this.preparer = preparer;
    unasked = terms.terms().injects(InjectedFault.EFFECT_WITHOUT_MAJORITY);
  }

  void cleared(String voter, long disk, List<Long> changes, Catalog catalog) {
    if (consensus.isMember(voter, disk)) {
      for (long id : changes) {
        if (catalog.waiting().containsKey(id)) {
          clear.computeIfAbsent(id, any -> new TreeMap<>()).put(voter, disk);
        }
      }
    }
  }

  /** How many statements this gateway prepared anew for the fleet. */
  long preparedAnew() {
    return preparedAnew;
  }

  void turn(long now, Catalog catalog) {
    clear.keySet().retainAll(catalog.waiting().keySet());
    if (!consensus.isLeader()) {
      begun.clear();
      return;
    }
    begun.values().removeIf(at -> now - at > AGAIN);
    catalog
        .waitingAnew()
        .forEach(
            (standing, change) -> {
              String name = standing.definition().name();
              if (begin(now, "anew " + name + " " + standing.generation())) {
                preparedAnew++;
                consensus.propose(
                    now,
                    0,
                    0,
                    new Command.Anew(
                        name,
                        standing.generation(),
                        preparer.anew(standing.definition(), change).orElse(null)));
              }
            });
    for (long id : List.copyOf(catalog.waiting().keySet())) {
      boolean free =
          !catalog.isBehindAnother(id)
              && catalog.waitingAnew().keySet().stream()
                  .noneMatch(it -> catalog.waiting().get(id).touches(it.definition().groups()));
      if (free && (isClear(id) || unasked) && begin(now, "effect " + id)) {
        consensus.propose(now, 0, 0, new Command.Effect(id));
      }
    }
  }

  /** A majority of those that are members now. */
  private boolean isClear(long id) {
    return clear.getOrDefault(id, new TreeMap<>()).entrySet().stream()
            .filter(each -> consensus.isMember(each.getKey(), each.getValue()))
            .count()
        >= voters.quorum();
  }

  private boolean begin(long now, String what) {
    return begun.putIfAbsent(what, now) == null;
  }

  long dueAt() {
    return begun.isEmpty() ? Long.MAX_VALUE : begun.values().iterator().next() + AGAIN + 1;
  }
}
