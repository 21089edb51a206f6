package tillerlink.statements.lease;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
 * A voter's side of leases: which it granted, and which announced changes it is clear of. A voter
 * that says it is clear of a change has the announcement in its durable log, so it grants no lease
 * on those groups until the change is settled, also after a restart; and none that it granted
 * before is valid. It does no I/O itself and is owned by the gateway's event loop. Times are in
 * tenths of a millisecond.
 */
public final class LeaseGrantor {
  private static final int HOLDERS_MAX = 1024;
  private static final int GRANTS_MAX = 32_768;

  /**
   * A grant of a lease on one group.
   *
   * @param sequence the number of the holder's request
   */
  private record Grant(long sequence, long validUntil) {}

  /** What was granted to one process, by groups. */
  private static final class Holder {
    private final TreeMap<Integer, Grant> grants = new TreeMap<>();

    /** Up to which request leases were released: late requests of before are not granted. */
    private final TreeMap<Integer, Long> releasedUpTo = new TreeMap<>();
  }

  private final LeaseConfig config;
  private final RaftConfig raft;
  private final RaftVoter voter;

  /** By the numbers of the processes that hold leases. */
  private final TreeMap<Long, Holder> holders = new TreeMap<>();

  /** Announced changes that this voter is clear of. */
  private final TreeSet<Long> cleared = new TreeSet<>();

  private int grantCount;

  /** Sets up the grantor of a voter; it has granted nothing that it knows of. */
  public LeaseGrantor(LeaseConfig config, RaftConfig raft, RaftVoter voter) {
    this.config = config;
    this.raft = raft;
    this.voter = voter;
  }

  // ---- requests ----

  /**
   * Grants what it can of the leases that a gateway requests.
   *
   * @return the response, to be sent once it is durable; empty if this voter may grant none
   */
  public Optional<Lease> onRequest(long now, AskLease request, Catalog catalog) {
    if (!voter.isOperational() || !voter.isMember(voter.name(), voter.disk())) {
      return Optional.empty();
    }
    removeExpired(now);
    TreeMap<Integer, Long> granted = new TreeMap<>();
    List<Integer> blocked = new ArrayList<>();
    request
        .groups()
        .forEach(
            (group, version) -> {
              if (isBlocked(catalog, group)) {
                blocked.add(group);
              } else if (version == catalog.version(group) && grant(now, request, group)) {
                granted.put(group, version);
              }
            });
    return Optional.of(
        new Lease(
            request.holder(),
            request.sequence(),
            voter.disk(),
            voter.membersVersion(),
            voter.members(),
            granted,
            blocked,
            catalog.applied()));
  }

  /** Whether a change of the group is announced in the log, applied or not. */
  private boolean isBlocked(Catalog catalog, int group) {
    boolean announced =
        catalog.blocked(group) || voter.hasAnnouncementAfter(catalog.applied(), group);
    return announced && !raft.injects(InjectedFault.GRANTS_WHILE_BLOCKED);
  }

  private boolean grant(long now, AskLease request, int group) {
    Holder holder = holders.get(request.holder());
    if (holder == null) {
      if (holders.size() >= HOLDERS_MAX) {
        return false;
      }
      holder = new Holder();
      holders.put(request.holder(), holder);
    }
    Grant old = holder.grants.get(group);
    boolean full = old == null && grantCount >= GRANTS_MAX;
    if (full || request.sequence() <= holder.releasedUpTo.getOrDefault(group, 0L)) {
      return false;
    }
    grantCount += old == null ? 1 : 0;
    long sequence = Math.max(request.sequence(), old == null ? 0 : old.sequence);
    holder.grants.put(group, new Grant(sequence, now + config.grantorDuration()));
    return true;
  }

  /** A gateway released leases. */
  public void onRelease(Release release) {
    Holder holder = holders.get(release.holder());
    if (holder == null) {
      return;
    }
    for (int group : release.groups()) {
      Grant grant = holder.grants.get(group);
      if (grant != null && grant.sequence <= release.sequence()) {
        holder.grants.remove(group);
        grantCount--;
      }
      if (holder.releasedUpTo.size() < Catalog.GROUPS_MAX
          || holder.releasedUpTo.containsKey(group)) {
        holder.releasedUpTo.merge(group, release.sequence(), Math::max);
      }
    }
  }

  private void removeExpired(long now) {
    for (Iterator<Holder> each = holders.values().iterator(); each.hasNext(); ) {
      Holder holder = each.next();
      int before = holder.grants.size();
      holder.grants.values().removeIf(grant -> grant.validUntil < now);
      grantCount -= before - holder.grants.size();
      if (holder.grants.isEmpty() && before > 0) {
        each.remove();
      }
    }
    Invariant.holds(
        grantCount >= 0 && grantCount <= GRANTS_MAX && holders.size() <= HOLDERS_MAX,
        () ->
            "expected at most "
                + GRANTS_MAX
                + " grants and "
                + HOLDERS_MAX
                + " holders, got "
                + grantCount
                + " and "
                + holders.size());
  }

  // ---- changes ----

  /** When the last lease on these groups has expired; 0 if none is valid. */
  private long lastExpiry(long now, List<Integer> groups) {
    long last = 0;
    for (Holder holder : holders.values()) {
      for (int group : groups) {
        Grant grant = holder.grants.get(group);
        boolean valid = grant != null && grant.validUntil >= now;
        last = valid ? Math.max(last, grant.validUntil) : last;
      }
    }
    return last;
  }

  /** When the last lease that this voter granted before its restart has expired. */
  private long earlierGrantsExpiry() {
    return voter.rejoinedAt() + config.grantorDuration();
  }

  /** The announced changes that this voter is clear of, by their numbers. */
  public List<Long> clearedChanges(long now, Catalog catalog) {
    cleared.retainAll(catalog.waiting().keySet());
    boolean expired =
        now > earlierGrantsExpiry() || raft.injects(InjectedFault.CLEARS_AFTER_RESTART);
    if (!voter.isOperational() || voter.rejoinedAt() < 0 || !expired) {
      return List.of();
    }
    catalog
        .waiting()
        .forEach(
            (id, change) -> {
              if (lastExpiry(now, change.groups()) == 0
                  || raft.injects(InjectedFault.CLEARS_TOO_EARLY)) {
                cleared.add(id);
              }
            });
    return List.copyOf(cleared);
  }

  /**
   * When this voter may be clear of one more change.
   *
   * @param waiting the announced changes, by their numbers
   */
  public long nextDueAt(long now, SortedMap<Long, Change> waiting) {
    long due = Long.MAX_VALUE;
    for (Map.Entry<Long, Change> each : waiting.entrySet()) {
      if (!cleared.contains(each.getKey())) {
        long expiry = lastExpiry(now, each.getValue().groups());
        due = Math.min(due, Math.max(earlierGrantsExpiry(), expiry) + 1);
      }
    }
    return Math.max(now + 1, due);
  }

  /** A change took effect: if this voter was clear of it, none of its grants may be valid. */
  public void onChangeEffective(long now, long id, Change change) {
    Invariant.holds(
        !cleared.contains(id) || lastExpiry(now, change.groups()) == 0,
        () -> "change " + id + " took effect while a lease of a clear voter is alive");
    cleared.remove(id);
    for (Holder holder : holders.values()) {
      for (int group : change.groups()) {
        Grant grant = holder.grants.get(group);
        if (grant != null && grant.validUntil < now) {
          holder.grants.remove(group);
          grantCount--;
        }
      }
    }
  }
}
