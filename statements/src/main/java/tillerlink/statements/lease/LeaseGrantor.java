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
 * The component of a voter that grants leases. It tracks the leases that the voter has granted, and
 * the announced changes that the voter is clear of.
 *
 * <p>A voter that confirms that it is clear of a change has the announcement in its durable log, so
 * that it grants no lease on the groups of the change until the change is settled, even after a
 * restart; and none of the leases that it granted on these groups before is still valid.
 *
 * <p>A grantor does no I/O itself and is owned by the gateway's event loop. Times are in tenths of
 * a millisecond.
 */
public final class LeaseGrantor {
  private static final int HOLDERS_MAX = 1024;
  private static final int GRANTS_MAX = 32_768;

  /**
   * A grant of a lease on one group.
   *
   * @param sequence the number of the holder's request
   * @param validUntil the time until which this voter honours the grant
   */
  private record Grant(long sequence, long validUntil) {}

  /** The leases that were granted to one process, by the numbers of the groups. */
  private static final class Holder {
    private final TreeMap<Integer, Grant> grants = new TreeMap<>();

    /**
     * The number of the last request whose lease was released, by group. Requests up to it that
     * arrive late are not granted.
     */
    private final TreeMap<Integer, Long> releasedUpTo = new TreeMap<>();
  }

  private final LeaseConfig config;
  private final RaftConfig raft;
  private final RaftVoter voter;

  /** The leases granted to each process, by the number of the process. */
  private final TreeMap<Long, Holder> holders = new TreeMap<>();

  /** The numbers of the announced changes that this voter is clear of. */
  private final TreeSet<Long> cleared = new TreeSet<>();

  /** The number of grants of all holders. */
  private int grantCount;

  /**
   * Creates the grantor of a voter. It knows of no grants, although the voter may have granted
   * leases before a restart.
   *
   * @param config the duration of leases
   * @param raft the configuration of the voter
   * @param voter the voter
   */
  public LeaseGrantor(LeaseConfig config, RaftConfig raft, RaftVoter voter) {
    this.config = config;
    this.raft = raft;
    this.voter = voter;
  }

  // ---- requests ----

  /**
   * Grants the requested leases, except on groups that are blocked by an announced change, at other
   * schema versions than the catalog has, or beyond the limits on holders and grants.
   *
   * @param now the current time, in tenths of a millisecond
   * @param request the request of a gateway
   * @param catalog the catalog of this voter
   * @return the response, to be sent after all earlier writes are durable; empty if this voter may
   *     not grant leases
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

  /** Returns whether the log announces a change of a group, applied to the catalog or not. */
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
    Grant previous = holder.grants.get(group);
    boolean grantsExhausted = previous == null && grantCount >= GRANTS_MAX;
    if (grantsExhausted || request.sequence() <= holder.releasedUpTo.getOrDefault(group, 0L)) {
      return false;
    }
    grantCount += previous == null ? 1 : 0;
    long sequence = Math.max(request.sequence(), previous == null ? 0 : previous.sequence);
    holder.grants.put(group, new Grant(sequence, now + config.grantorDuration()));
    return true;
  }

  /**
   * Removes the grants that a gateway has released.
   *
   * @param release the release
   */
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
      int countBefore = holder.grants.size();
      holder.grants.values().removeIf(grant -> grant.validUntil < now);
      grantCount -= countBefore - holder.grants.size();
      if (holder.grants.isEmpty() && countBefore > 0) {
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

  /**
   * Returns the time at which the last valid lease on the given groups expires; 0 if none is valid.
   */
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

  /**
   * Returns the latest time at which a lease that this voter may have granted before its restart
   * expires.
   */
  private long earlierGrantsExpiry() {
    return voter.rejoinedAt() + config.grantorDuration();
  }

  /**
   * Returns the announced changes that this voter is clear of. The list is empty while this voter
   * is not operational, and while leases that it granted before a restart may be valid.
   *
   * @param now the current time, in tenths of a millisecond
   * @param catalog the catalog of this voter
   * @return the numbers of the changes
   */
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
   * Returns the earliest time at which this voter may become clear of a further change.
   *
   * @param now the current time, in tenths of a millisecond
   * @param waiting the announced changes, by their numbers
   * @return the time, in tenths of a millisecond, later than {@code now}; {@link Long#MAX_VALUE} if
   *     this voter is clear of all changes
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

  /**
   * Handles a change that took effect. If this voter was clear of the change, none of its grants on
   * the groups of the change may be valid.
   *
   * @param now the current time, in tenths of a millisecond
   * @param id the number of the change
   * @param change the change
   */
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
