package tillerlink.statements.lease;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import tillerlink.cluster.Invariant;
import tillerlink.statements.catalog.Catalog;

/**
 * The lease of a gateway on one table group: the voters' grants, the attempts that run under it,
 * and its release. Times are in tenths of a millisecond, by the gateway's clock.
 */
final class GroupLease {
  /** The end of a lease that is not held; sums and differences with it do not overflow. */
  static final long NOT_HELD = Long.MIN_VALUE / 4;

  private static final long NEVER_GRANTED = Long.MIN_VALUE / 2;
  private static final long NOT_DUE = Long.MAX_VALUE;

  /** Interval at which a release is repeated, because it may have been lost. */
  private static final long RELEASE_INTERVAL = 1500;

  /** The message that the holder has to send after a tick. */
  enum PendingMessage {
    /** No message. */
    NONE,
    /** A request of the lease for a new schema version. */
    REQUEST,
    /** A release of the lease, to all voters. */
    RELEASE
  }

  /**
   * A voter's grant of the lease.
   *
   * @param disk the number of the voter's disk
   * @param requestedAt the time at which the lease was requested
   */
  private record Grant(long disk, long requestedAt) {}

  private final int group;
  private final Grant[] grants;
  private long version;
  private long neededAt;
  private int inFlight;

  /**
   * The time until which an engine may still execute an attempt that has ended at this gateway; 0
   * if there is no such attempt.
   */
  private long uncertainUntil;

  /** Whether the lease was valid at the last call of {@link #updateValidity}. */
  private boolean valid;

  /**
   * Whether grants were dropped that voters may still count, so that a release has to follow once
   * no attempt is left.
   */
  private boolean releasePending;

  /** Whether an announced change waits for the release, and the release for attempts. */
  private boolean releaseAwaitsAttempts;

  /** The time at which the release is sent again, because it may have been lost. */
  private long releaseRetryDueAt = NOT_DUE;

  /** The time after which the release is no longer sent again. */
  private long releaseRetryUntil;

  GroupLease(int group, long version, int voters) {
    this.group = group;
    this.version = version;
    grants = new Grant[voters];
  }

  // ---- grants ----

  /** Returns the schema version that the lease is for. */
  long version() {
    return version;
  }

  void onNeeded(long now) {
    neededAt = now;
  }

  /** Returns the time at which a run last needed the lease. */
  long neededAt() {
    return neededAt;
  }

  /**
   * Records a voter's grant. Among the grants from one disk of a voter, the one that was requested
   * last counts.
   *
   * @param requestedAt the time at which the lease was requested
   */
  void onGrant(int voter, long disk, long requestedAt) {
    Grant previous = grants[voter];
    if (previous == null || previous.disk != disk || previous.requestedAt < requestedAt) {
      grants[voter] = new Grant(disk, requestedAt);
    }
  }

  /**
   * Returns the time until which enough members have granted the lease.
   *
   * @param members the disks that vote, in the order of the voters' names
   * @param requiredGrants the number of grants that the lease requires
   * @param duration the duration of a grant from its request
   * @return the time; {@link #NOT_HELD} if there are fewer grants
   */
  long validUntil(List<Long> members, int requiredGrants, long duration) {
    long[] requestedAt = new long[grants.length];
    Arrays.fill(requestedAt, NEVER_GRANTED);
    int grantCount = 0;
    for (int i = 0; i < requestedAt.length; i++) {
      Grant grant = grants[i];
      if (grant != null && grant.disk == members.get(i)) {
        requestedAt[i] = grant.requestedAt;
        grantCount++;
      }
    }
    if (grantCount < requiredGrants) {
      return NOT_HELD;
    }
    Arrays.sort(requestedAt);
    long until = requestedAt[requestedAt.length - requiredGrants] + duration;
    Invariant.holds(
        hasMajorityUntil(until, members, duration),
        () -> "a lease on group " + group + " without a majority");
    return until;
  }

  /**
   * Returns whether a majority of the members has granted the lease until a time. Counts the grants
   * independently of {@link #validUntil}, whose result it checks.
   */
  private boolean hasMajorityUntil(long until, List<Long> members, long duration) {
    int grantCount = 0;
    for (int i = 0; i < grants.length; i++) {
      Grant grant = grants[i];
      boolean counts =
          grant != null && grant.disk == members.get(i) && grant.requestedAt + duration >= until;
      grantCount += counts ? 1 : 0;
    }
    return grantCount * 2 > grants.length;
  }

  /**
   * Records whether the lease is valid.
   *
   * @return whether the lease was valid at the last call and no longer is
   */
  boolean updateValidity(boolean nowValid) {
    boolean lost = valid && !nowValid;
    valid = nowValid;
    return lost;
  }

  private boolean hasGrants() {
    return releasePending || Arrays.stream(grants).anyMatch(Objects::nonNull);
  }

  private void dropGrants() {
    Arrays.fill(grants, null);
    releasePending = false;
  }

  // ---- attempts ----

  /**
   * Changes the number of attempts that run under the lease.
   *
   * @param delta 1 for an attempt that started, -1 for one that ended
   */
  void addInFlight(int delta) {
    Invariant.holds(
        inFlight + delta >= 0,
        () -> "more attempts of group " + group + " ended than were started");
    inFlight = Math.max(0, inFlight + delta);
  }

  /**
   * Records that an attempt has ended at this gateway while an engine may still execute it.
   *
   * @param until the time until which the engine may execute it
   */
  void onAttemptUncertain(long until) {
    uncertainUntil = Math.max(uncertainUntil, until);
  }

  /** Returns whether an engine may still execute an attempt that was written under the lease. */
  boolean mayHaveAttempts() {
    return inFlight > 0 || uncertainUntil > 0;
  }

  /** Returns whether the last attempt that a release waited for has ended. */
  boolean isReadyForRelease() {
    return inFlight == 0 && releaseAwaitsAttempts;
  }

  private void expireUncertainty(long now) {
    uncertainUntil = uncertainUntil > now ? uncertainUntil : 0;
  }

  // ---- release ----

  /**
   * Follows the catalog: drops the grants when the schema version has changed, and releases the
   * lease for an announced change once no attempt can be left.
   *
   * @param leaseLength the time for which the release is repeated
   * @return the message that has to be sent
   */
  PendingMessage onTick(long now, Catalog catalog, long leaseLength) {
    expireUncertainty(now);
    releaseAwaitsAttempts = false;
    if (version != catalog.version(group)) {
      version = catalog.version(group);
      dropGrants();
      return PendingMessage.REQUEST;
    }
    boolean hasGrants = hasGrants();
    if (hasGrants && catalog.blocked(group)) {
      return release(now, leaseLength);
    }
    if (now >= releaseRetryDueAt) {
      boolean retry = !hasGrants && catalog.blocked(group) && now < releaseRetryUntil;
      releaseRetryDueAt = retry ? now + RELEASE_INTERVAL : NOT_DUE;
      return retry ? PendingMessage.RELEASE : PendingMessage.NONE;
    }
    return PendingMessage.NONE;
  }

  private PendingMessage release(long now, long leaseLength) {
    if (mayHaveAttempts()) {
      releaseAwaitsAttempts = true;
      releaseRetryDueAt = NOT_DUE;
      return PendingMessage.NONE;
    }
    dropGrants();
    releaseRetryDueAt = now + RELEASE_INTERVAL;
    releaseRetryUntil = now + leaseLength;
    return PendingMessage.RELEASE;
  }

  /**
   * Drops the grants, so that no further attempt relies on the lease.
   *
   * @return whether the lease can be released at once, because no attempt can be left
   */
  boolean abandon(long now) {
    expireUncertainty(now);
    boolean hasGrants = hasGrants();
    dropGrants();
    releasePending = hasGrants && mayHaveAttempts();
    return !mayHaveAttempts();
  }

  /** Returns the time at which {@link #onTick} has to run if no other event occurs before. */
  long nextDueAt() {
    return uncertainUntil > 0 ? Math.min(releaseRetryDueAt, uncertainUntil) : releaseRetryDueAt;
  }
}
