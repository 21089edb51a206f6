package tillerlink.statements.lease;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import tillerlink.cluster.Invariant;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.StatementMessage.AskLease;
import tillerlink.messages.statements.StatementMessage.Lease;
import tillerlink.messages.statements.StatementMessage.Release;
import tillerlink.statements.catalog.Catalog;
import tillerlink.statements.consensus.RaftConfig;
import tillerlink.statements.consensus.RaftVoter;
import tillerlink.statements.testing.InjectedFault;

/**
 * A voter's side of leases: which it granted, and of which changes it is clear. A voter that says
 * it is clear of a change holds the announcement on its disk, so it grants none on those groups
 * until the change is settled, also after a restart; and of all it granted before none is alive.
 */
public final class LeaseGrantor {
  private static final int HOLDERS_MOST = 1024;
  private static final int GRANTS_MOST = 32_768;

  private record Grant(long sequence, long until) {}

  private static final class Holder {
    final TreeMap<Integer, Grant> grants = new TreeMap<>();
    final TreeMap<Integer, Long> released = new TreeMap<>();
  }

  private final LeaseTerms lease;
  private final RaftConfig terms;
  private final RaftVoter consensus;

  /** By the numbers of the processes that hold. */
  private final TreeMap<Long, Holder> holders = new TreeMap<>();

  private final TreeSet<Long> cleared = new TreeSet<>();
  private int count;

  public LeaseGrantor(LeaseTerms lease, RaftConfig terms, RaftVoter consensus) {
    this.lease = lease;
    this.terms = terms;
    this.consensus = consensus;
  }

  /**
   * @return the answer, or null if this voter can give none
   */
  public Lease asked(long now, AskLease ask, Catalog catalog) {
    if (!consensus.isOperational() || !consensus.isMember(consensus.name(), consensus.disk())) {
      return null;
    }
    sweep(now);
    TreeMap<Integer, Long> granted = new TreeMap<>();
    List<Integer> blocked = new ArrayList<>();
    ask.groups()
        .forEach(
            (group, version) -> {
              boolean stands =
                  blocks(catalog, group) && !terms.injects(InjectedFault.GRANTS_WHILE_BLOCKED);
              if (stands) {
                blocked.add(group);
              } else if (version == catalog.version(group) && grant(now, ask, group)) {
                granted.put(group, version);
              }
            });
    return new Lease(
        ask.holder(),
        ask.sequence(),
        consensus.disk(),
        consensus.membersVersion(),
        consensus.members(),
        granted,
        blocked,
        catalog.applied());
  }

  private boolean blocks(Catalog catalog, int group) {
    return catalog.blocked(group) || consensus.hasAnnouncementAfter(catalog.applied(), group);
  }

  private boolean grant(long now, AskLease ask, int group) {
    Holder holder = holders.get(ask.holder());
    if (holder == null) {
      if (holders.size() >= HOLDERS_MOST) {
        return false;
      }
      holder = new Holder();
      holders.put(ask.holder(), holder);
    }
    Grant old = holder.grants.get(group);
    if (old == null && count >= GRANTS_MOST
        || ask.sequence() <= holder.released.getOrDefault(group, 0L)) {
      return false;
    }
    count += old == null ? 1 : 0;
    long sequence = Math.max(ask.sequence(), old == null ? 0 : old.sequence);
    holder.grants.put(group, new Grant(sequence, now + lease.kept()));
    return true;
  }

  public void released(Release release) {
    Holder holder = holders.get(release.holder());
    if (holder == null) {
      return;
    }
    for (int group : release.groups()) {
      Grant grant = holder.grants.get(group);
      if (grant != null && grant.sequence <= release.sequence()) {
        holder.grants.remove(group);
        count--;
      }
      if (holder.released.size() < Catalog.GROUPS_MOST || holder.released.containsKey(group)) {
        holder.released.merge(group, release.sequence(), Math::max);
      }
    }
  }

  private void sweep(long now) {
    for (Iterator<Holder> each = holders.values().iterator(); each.hasNext(); ) {
      Holder holder = each.next();
      int before = holder.grants.size();
      holder.grants.values().removeIf(grant -> grant.until < now);
      count -= before - holder.grants.size();
      if (holder.grants.isEmpty() && before > 0) {
        each.remove();
      }
    }
    Invariant.holds(
        count >= 0 && count <= GRANTS_MOST && holders.size() <= HOLDERS_MOST,
        () -> "grants beyond bounds");
  }

  /** When the last lease on these groups has run out; 0 if none is alive. */
  private long lastUntil(long now, List<Integer> groups) {
    long last = 0;
    for (Holder holder : holders.values()) {
      for (int group : groups) {
        Grant grant = holder.grants.get(group);
        last = grant != null && grant.until >= now ? Math.max(last, grant.until) : last;
      }
    }
    return last;
  }

  /** From when on leases of an earlier start of this voter have run out. */
  private long soundFrom() {
    return consensus.rejoinedAt() + lease.kept();
  }

  /** The announced changes that this voter is clear of. */
  public List<Long> clearOf(long now, Catalog catalog) {
    cleared.retainAll(catalog.waiting().keySet());
    boolean rested = now > soundFrom() || terms.injects(InjectedFault.CLEARS_AFTER_RESTART);
    if (!consensus.isOperational() || consensus.rejoinedAt() < 0 || !rested) {
      return List.of();
    }
    catalog
        .waiting()
        .forEach(
            (id, change) -> {
              if (lastUntil(now, change.groups()) == 0
                  || terms.injects(InjectedFault.CLEARS_TOO_EARLY)) {
                cleared.add(id);
              }
            });
    return List.copyOf(cleared);
  }

  /** When there may be one more to be clear of. */
  public long dueAt(long now, SortedMap<Long, Change> waiting) {
    long due = Long.MAX_VALUE;
    for (Map.Entry<Long, Change> each : waiting.entrySet()) {
      if (!cleared.contains(each.getKey())) {
        due = Math.min(due, Math.max(soundFrom(), lastUntil(now, each.getValue().groups())) + 1);
      }
    }
    return Math.max(now + 1, due);
  }

  /** A change took effect: if this voter was clear of it, none of its leases may be alive. */
  public void tookEffect(long now, long id, Change change) {
    Invariant.holds(
        !cleared.contains(id) || lastUntil(now, change.groups()) == 0,
        () -> "change " + id + " took effect while a lease of a clear voter is alive");
    cleared.remove(id);
    for (Holder holder : holders.values()) {
      for (int group : change.groups()) {
        if (holder.grants.get(group) != null && holder.grants.get(group).until < now) {
          holder.grants.remove(group);
          count--;
        }
      }
    }
  }
}
