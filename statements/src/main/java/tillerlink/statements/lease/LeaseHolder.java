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
 * The leases of a gateway on table groups. A lease is held while a majority of the voters has
 * granted it. Each grant counts from the time just before the request was sent, measured only by
 * the gateway's own clock.
 *
 * <p>A holder does no I/O itself and is owned by the gateway's event loop. Times are in tenths of a
 * millisecond.
 */
public final class LeaseHolder {
  private static final int REQUESTS_MAX = 16;

  /** Time since a run last needed a group for which its lease is still requested. */
  private static final long UNUSED_LEASE_TIMEOUT = 6_000_000;

  /** Delay of the next request after a run was rejected because a lease was missing. */
  private static final long EXPEDITED_REQUEST_DELAY = 500;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /**
   * A request that was sent to all voters.
   *
   * @param sentAt the time at which it was sent
   * @param versions the requested schema version of each table group
   */
  private record LeaseRequest(long sentAt, TreeMap<Integer, Long> versions) {
    boolean covers(int group, long version) {
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

  /** The requests that voters may still respond to, by their sequence numbers. */
  private final LinkedHashMap<Long, LeaseRequest> requests = new LinkedHashMap<>();

  private List<Long> members = List.of();
  private long membersVersion = -1;
  private long sequence;
  private long requestDueAt;
  private long heardAt = NEVER;
  private long losses;
  private long nextExpiryAt = Long.MAX_VALUE;

  /** Whether the last attempt that a release waited for has ended. */
  private boolean releaseReady;

  /**
   * Creates a holder without leases.
   *
   * @param config the duration of leases
   * @param raft the configuration of the voters
   * @param voters the configured voters
   * @param outbox sends messages to other gateways
   * @param random the source of the number that identifies this process as a holder
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

  /** Returns the random number that identifies this process as a holder of leases; never 0. */
  public long holderId() {
    return holderId;
  }

  /**
   * Returns the time at which a voter last responded to a request for leases.
   *
   * @return the time, in tenths of a millisecond; far in the past if no voter has responded
   */
  public long heardAt() {
    return heardAt;
  }

  /**
   * Returns the number of times that a valid lease ended because it expired, was released or was
   * dropped.
   */
  public long losses() {
    return losses;
  }

  /**
   * Returns the time until which the lease on a group is valid at a schema version.
   *
   * @param group the number of the table group
   * @param version the schema version
   * @return the time, in tenths of a millisecond; in the past if no such lease is held
   */
  public long validUntil(int group, long version) {
    GroupLease lease = leases.get(group);
    return lease == null || lease.version() != version ? GroupLease.NOT_HELD : validUntil(lease);
  }

  private long validUntil(GroupLease lease) {
    if (members.isEmpty()) {
      return GroupLease.NOT_HELD;
    }
    int requiredGrants =
        voters.quorum() - (raft.injects(InjectedFault.LEASE_WITHOUT_MAJORITY) ? 1 : 0);
    return lease.validUntil(members, requiredGrants, config.holderDuration());
  }

  // ---- runs ----

  /**
   * Records that a run needs a lease on a group now or soon, so that it is requested from now on.
   *
   * @param now the current time, in tenths of a millisecond
   * @param group the number of the table group
   * @param catalog the catalog of this gateway
   */
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

  /**
   * Makes the next request due soon, because a run was rejected without a lease.
   *
   * @param now the current time, in tenths of a millisecond
   */
  public void expediteRequest(long now) {
    requestDueAt = Math.min(requestDueAt, now + EXPEDITED_REQUEST_DELAY);
  }

  /**
   * Records that an attempt is written that runs under a lease on a group.
   *
   * @param group the number of the table group
   */
  public void onAttemptStarted(int group) {
    countAttempt(group, 1);
  }

  /**
   * Records that an attempt that ran under a lease on a group has ended at this gateway.
   *
   * @param group the number of the table group
   */
  public void onAttemptEnded(int group) {
    countAttempt(group, -1);
  }

  private void countAttempt(int group, int delta) {
    GroupLease lease = leases.get(group);
    if (lease != null && !raft.injects(InjectedFault.RELEASES_WITH_ATTEMPTS_IN_FLIGHT)) {
      lease.addInFlight(delta);
      releaseReady |= lease.isReadyForRelease();
    }
  }

  /**
   * Records that an attempt that runs under a lease on a group ends at this gateway while an engine
   * may still execute it. Must be called before {@link #onAttemptEnded}.
   *
   * <p>An engine stops at the deadline that it was given, but counts it by its own clock from the
   * arrival of the attempt. Therefore a whole lease is added to the time, which is the longest that
   * an announced change waits for.
   *
   * @param now the current time, in tenths of a millisecond
   * @param group the number of the table group
   * @param mayRunUntil the deadline of the attempt by this gateway's clock, in tenths of a
   *     millisecond
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

  /**
   * Releases, expires and requests leases; called on each event-loop iteration.
   *
   * @param now the current time, in tenths of a millisecond
   * @param catalog the catalog of this gateway
   */
  public void tick(long now, Catalog catalog) {
    followCatalog(now, catalog);
    updateValidity(now);
    if (now < requestDueAt || leases.isEmpty()) {
      return;
    }
    requestDueAt = now + config.length() / 4;
    leases
        .values()
        .removeIf(
            lease -> now - lease.neededAt() > UNUSED_LEASE_TIMEOUT && !lease.mayHaveAttempts());
    requestLeases(now, catalog);
  }

  /**
   * Returns the latest time of the next call of {@link #tick}.
   *
   * @return the time, in tenths of a millisecond
   */
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

  /**
   * Handles a voter's response to a request. Ignores responses that do not belong to an open
   * request of this process.
   *
   * @param now the current time, in tenths of a millisecond
   * @param from the name of the voter
   * @param response the response
   */
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
    boolean countFromResponse = raft.injects(InjectedFault.COUNTS_LEASE_FROM_RESPONSE);
    long requestedAt = countFromResponse ? now : request.sentAt;
    response
        .granted()
        .forEach(
            (group, version) -> {
              GroupLease lease = leases.get(group);
              if (lease != null && lease.version() == version && request.covers(group, version)) {
                lease.onGrant(voter, response.disk(), requestedAt);
              }
            });
  }

  // ---- loss of leases ----

  /**
   * Drops all leases after a pause of the process, and releases those under which no attempt can be
   * left.
   *
   * @param now the current time, in tenths of a millisecond
   */
  public void onPause(long now) {
    if (raft.injects(InjectedFault.TRUSTS_LEASES_AFTER_PAUSE)) {
      return;
    }
    requests.clear();
    abandonAll(now);
    requestDueAt = now;
  }

  /**
   * Drops all leases because the process ends and writes no further attempts. Leases under which no
   * attempt can be left are released; the others expire at the voters.
   *
   * @param now the current time, in tenths of a millisecond
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

  /**
   * Checks, for a change that took effect, that no lease for the previous schema versions of its
   * groups is valid at this gateway.
   *
   * @param now the current time, in tenths of a millisecond
   * @param groups the numbers of the table groups of the change
   */
  public void onChangeEffective(long now, List<Integer> groups) {
    for (int group : groups) {
      GroupLease lease = leases.get(group);
      Invariant.holds(
          lease == null || validUntil(lease) <= now,
          () -> "a change of group " + group + " took effect while a lease is held here");
    }
  }
}
