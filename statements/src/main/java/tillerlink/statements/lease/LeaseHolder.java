package tillerlink.statements.lease;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import tillerlink.cluster.Invariant;
import tillerlink.messages.statements.StatementMessage.AskLease;
import tillerlink.messages.statements.StatementMessage.Lease;
import tillerlink.messages.statements.StatementMessage.Release;
import tillerlink.statements.catalog.Catalog;
import tillerlink.statements.consensus.Outbox;
import tillerlink.statements.consensus.RaftConfig;
import tillerlink.statements.consensus.Voters;
import tillerlink.statements.testing.InjectedFault;

/**
 * A gateway's side of leases on table groups. A lease is held while a majority of the voters has
 * granted it, each from the moment before it was asked, by the gateway's own clock alone. It does
 * no I/O itself and is owned by the gateway's event loop. Times are in tenths of a millisecond.
 */
public final class LeaseHolder {
  private static final int REQUESTS_MAX = 16;

  /** How long after a run last needed the group its lease is still requested. */
  private static final long INTEREST_DURATION = 6_000_000;

  private static final long EXPEDITED_REQUEST_DELAY = 500;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private record LeaseRequest(long sentAt, TreeMap<Integer, Long> versions) {
    boolean asks(int group, long version) {
      Long requested = versions.get(group);
      return requested != null && requested == version;
    }
  }

  private final LeaseConfig config;
  private final RaftConfig raft;
  private final Voters voters;
  private final Outbox outbox;
  private final long holderId;
  private final TreeMap<Integer, GroupLease> leases = new TreeMap<>();

  /** Requests that may still be answered, by their sequence numbers. */
  private final LinkedHashMap<Long, LeaseRequest> requests = new LinkedHashMap<>();

  private List<Long> members = List.of();
  private long membersVersion = -1;
  private long sequence;
  private long requestDueAt;
  private long heardAt = NEVER;
  private long losses;
  private long nextExpiryAt = Long.MAX_VALUE;

  /** The last attempt ended that a release waited for. */
  private boolean releaseReady;

  /**
   * Sets up a holder without leases.
   *
   * @param random gives this process its number among the holders
   */
  public LeaseHolder(
      LeaseConfig config, RaftConfig raft, Voters voters, Outbox outbox, RandomGenerator random) {
    this.config = config;
    this.raft = raft;
    this.voters = voters;
    this.outbox = outbox;
    holderId = random.nextLong() | 1;
  }

  // ---- state ----

  /** The number of this process among the holders of leases; never 0. */
  public long holderId() {
    return holderId;
  }

  /** When a voter last responded to a request for leases. */
  public long heardAt() {
    return heardAt;
  }

  /** How often a lease that was held was lost: it expired, was released or dropped. */
  public long losses() {
    return losses;
  }

  /** Until when a lease on the group at that version is valid; in the past if none is held. */
  public long validUntil(int group, long version) {
    GroupLease lease = leases.get(group);
    return lease == null || lease.version() != version ? GroupLease.NOT_HELD : validUntil(lease);
  }

  private long validUntil(GroupLease lease) {
    if (members.isEmpty()) {
      return GroupLease.NOT_HELD;
    }
    int needed = voters.quorum() - (raft.injects(InjectedFault.LEASE_WITHOUT_MAJORITY) ? 1 : 0);
    return lease.validUntil(members, needed, config.holderDuration());
  }

  // ---- runs ----

  /** A run needs a lease on the group, now or soon: it is requested from now on. */
  public void onGroupNeeded(long now, int group, Catalog catalog) {
    GroupLease lease = leases.get(group);
    if (lease == null) {
      if (leases.size() >= Catalog.GROUPS_MAX) {
        return;
      }
      lease = new GroupLease(group, catalog.version(group), voters.count());
      leases.put(group, lease);
      requestDueAt = Math.min(requestDueAt, now);
    }
    lease.onNeeded(now);
  }

  /** Requests leases soon, as a run was rejected for want of one. */
  public void expediteRequest(long now) {
    requestDueAt = Math.min(requestDueAt, now + EXPEDITED_REQUEST_DELAY);
  }

  /** An attempt that runs under a lease on the group is written. */
  public void onAttemptStarted(int group) {
    countAttempt(group, 1);
  }

  /** An attempt that runs under a lease on the group ended at this gateway. */
  public void onAttemptEnded(int group) {
    countAttempt(group, -1);
  }

  private void countAttempt(int group, int change) {
    GroupLease lease = leases.get(group);
    if (lease != null && !raft.injects(InjectedFault.RELEASES_WITH_ATTEMPTS_IN_FLIGHT)) {
      lease.addInFlight(change);
      releaseReady |= lease.isReadyForRelease();
    }
  }

  /**
   * An attempt that runs under a lease on the group ends at this gateway while an engine may still
   * execute it; to be called before {@link #onAttemptEnded}. An engine stops at the deadline that
   * it was given, by its own clock and from when the attempt reached it; so a whole lease is added,
   * which an announced change waits for at most.
   */
  public void onAttemptUncertain(long now, int group, long mayRunUntil) {
    GroupLease lease = leases.get(group);
    if (lease != null
        && !raft.injects(InjectedFault.RELEASES_WITH_ATTEMPTS_IN_FLIGHT)
        && !raft.injects(InjectedFault.ASSUMES_ATTEMPTS_STOPPED)) {
      lease.onAttemptUncertain(Math.max(now, mayRunUntil) + config.grantorDuration());
    }
  }

  // ---- time ----

  /** Releases, expires and requests leases; called on each event-loop iteration. */
  public void tick(long now, Catalog catalog) {
    followCatalog(now, catalog);
    updateValidity(now);
    if (now < requestDueAt || leases.isEmpty()) {
      return;
    }
    requestDueAt = now + config.length() / 4;
    leases
        .values()
        .removeIf(lease -> now - lease.neededAt() > INTEREST_DURATION && !lease.mayHaveAttempts());
    requestLeases(now, catalog);
  }

  /** When {@link #tick} is to be called next, at the latest. */
  public long nextDueAt() {
    if (leases.isEmpty()) {
      return Long.MAX_VALUE;
    }
    long due = releaseReady ? Long.MIN_VALUE : Math.min(requestDueAt, nextExpiryAt);
    for (GroupLease lease : leases.values()) {
      due = Math.min(due, lease.nextDueAt());
    }
    return due;
  }

  private void followCatalog(long now, Catalog catalog) {
    releaseReady = false;
    List<Integer> released = new ArrayList<>();
    leases.forEach(
        (group, lease) -> {
          switch (lease.onTick(now, catalog, config.length())) {
            case REQUEST -> requestDueAt = Math.min(requestDueAt, now);
            case RELEASE -> released.add(group);
            case NONE -> {}
          }
        });
    sendRelease(released);
  }

  private void updateValidity(long now) {
    nextExpiryAt = Long.MAX_VALUE;
    for (GroupLease lease : leases.values()) {
      long until = validUntil(lease) - config.margin();
      boolean valid = until > now;
      losses += lease.updateValidity(valid) ? 1 : 0;
      nextExpiryAt = valid ? Math.min(nextExpiryAt, until) : nextExpiryAt;
    }
  }

  private void requestLeases(long now, Catalog catalog) {
    TreeMap<Integer, Long> versions = new TreeMap<>();
    leases.forEach(
        (group, lease) -> {
          if (!catalog.blocked(group)) {
            versions.put(group, lease.version());
          }
        });
    if (versions.isEmpty()) {
      return;
    }
    requests.put(++sequence, new LeaseRequest(now, versions));
    if (requests.size() > REQUESTS_MAX) {
      requests.remove(requests.keySet().iterator().next());
    }
    for (String voter : voters.names()) {
      outbox.send(voter, new AskLease(holderId, sequence, versions));
    }
  }

  private void sendRelease(List<Integer> groups) {
    if (groups.isEmpty()) {
      return;
    }
    requests.clear();
    for (String voter : voters.names()) {
      outbox.send(voter, new Release(holderId, sequence, groups));
    }
  }

  // ---- grants ----

  /** A voter responded to a request; what answers no open request of this process is dropped. */
  public void onGrant(long now, String from, Lease response) {
    int voter = voters.indexOf(from);
    LeaseRequest request = requests.get(response.sequence());
    if (response.holder() != holderId
        || request == null
        || voter < 0
        || response.members().size() != voters.count()) {
      return;
    }
    heardAt = now;
    if (response.version() > membersVersion) {
      membersVersion = response.version();
      members = response.members();
    }
    boolean fromResponse = raft.injects(InjectedFault.COUNTS_LEASE_FROM_RESPONSE);
    long since = fromResponse ? now : request.sentAt;
    response
        .granted()
        .forEach(
            (group, version) -> {
              GroupLease lease = leases.get(group);
              if (lease != null && lease.version() == version && request.asks(group, version)) {
                lease.onGrant(voter, response.disk(), since);
              }
            });
  }

  // ---- loss of leases ----

  /** The process was paused: all leases are dropped, and released where no attempt may be left. */
  public void onPause(long now) {
    if (raft.injects(InjectedFault.TRUSTS_LEASES_AFTER_PAUSE)) {
      return;
    }
    requests.clear();
    abandonAll(now);
    requestDueAt = now;
  }

  /**
   * This process ends and writes no attempt any more: leases are released, but for those that an
   * attempt may be left under, which expire.
   */
  public void onShutdown(long now) {
    abandonAll(now);
  }

  private void abandonAll(long now) {
    List<Integer> released = new ArrayList<>();
    leases.forEach(
        (group, lease) -> {
          if (lease.abandon(now)) {
            released.add(group);
          }
        });
    sendRelease(released);
  }

  /** A change took effect: no lease under the schema versions before it may be valid here. */
  public void onChangeEffective(long now, List<Integer> groups) {
    for (int group : groups) {
      GroupLease lease = leases.get(group);
      Invariant.holds(
          lease == null || validUntil(lease) <= now,
          () -> "a change of group " + group + " took effect while a lease is held here");
    }
  }
}
