package tillerlink.statements.lease;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import tillerlink.cluster.Invariant;
import tillerlink.statements.catalog.Catalog;

/**
 * What a gateway knows of its lease on one table group: the voters' grants, the attempts that run
 * under it, and its release. Times are in tenths of a millisecond, by the gateway's clock.
 */
final class GroupLease {
  /** The end of a lease that is not held; far from where sums would overflow. */
  static final long NOT_HELD = Long.MIN_VALUE / 4;

  private static final long NEVER_GRANTED = Long.MIN_VALUE / 2;
  private static final long NOT_DUE = Long.MAX_VALUE;
  private static final long RELEASE_INTERVAL = 1500;

  /** What the holder has to send after a tick. */
  enum Step {
    NONE,
    /** The schema version changed: the lease is to be requested for the new one. */
    REQUEST,
    /** The voters are to be notified that the lease is released. */
    RELEASE
  }

  /**
   * A voter's grant.
   *
   * @param since when it was requested
   */
  private record Grant(long disk, long since) {}

  private final int group;
  private final Grant[] grants;
  private long version;
  private long neededAt;
  private int inFlight;

  /** Until when an engine may still execute an attempt that ended here; 0 if none does. */
  private long uncertainUntil;

  private boolean valid;

  /** Grants were dropped that voters may still count: to be released when no attempt is left. */
  private boolean releaseOwed;

  /** A change waits for the release, which waits for attempts. */
  private boolean releaseAwaitsAttempts;

  /** When the release is sent again, as it may have been lost. */
  private long releaseDueAt = NOT_DUE;

  private long releaseRetryUntil;

  GroupLease(int group, long version, int voters) {
    this.group = group;
    this.version = version;
    grants = new Grant[voters];
  }

  // ---- grants ----

  /** The schema version that the lease is for. */
  long version() {
    return version;
  }

  void onNeeded(long now) {
    neededAt = now;
  }

  /** When a run last needed the lease. */
  long neededAt() {
    return neededAt;
  }

  /** A voter granted the lease; of its grants from one disk the latest request counts. */
  void onGrant(int voter, long disk, long since) {
    Grant old = grants[voter];
    if (old == null || old.disk != disk || old.since < since) {
      grants[voter] = new Grant(disk, since);
    }
  }

  /**
   * Until when the lease is valid by grants of so many voters; {@link #NOT_HELD} if there are
   * fewer.
   *
   * @param members the disks that vote, in the order of the voters
   */
  long validUntil(List<Long> members, int needed, long duration) {
    long[] since = new long[grants.length];
    Arrays.fill(since, NEVER_GRANTED);
    int count = 0;
    for (int i = 0; i < since.length; i++) {
      Grant grant = grants[i];
      if (grant != null && grant.disk == members.get(i)) {
        since[i] = grant.since;
        count++;
      }
    }
    if (count < needed) {
      return NOT_HELD;
    }
    Arrays.sort(since);
    long until = since[since.length - needed] + duration;
    Invariant.holds(
        hasMajorityUntil(until, members, duration),
        () -> "a lease on group " + group + " without a majority");
    return until;
  }

  /** Counted another way than above: a majority of members granted until that moment. */
  private boolean hasMajorityUntil(long until, List<Long> members, long duration) {
    int count = 0;
    for (int i = 0; i < grants.length; i++) {
      Grant grant = grants[i];
      boolean counts =
          grant != null && grant.disk == members.get(i) && grant.since + duration >= until;
      count += counts ? 1 : 0;
    }
    return count * 2 > grants.length;
  }

  /** Notes whether the lease is valid; returns whether it was lost since the last time. */
  boolean updateValidity(boolean nowValid) {
    boolean lost = valid && !nowValid;
    valid = nowValid;
    return lost;
  }

  private boolean hasGrants() {
    return releaseOwed || Arrays.stream(grants).anyMatch(Objects::nonNull);
  }

  private void dropGrants() {
    Arrays.fill(grants, null);
    releaseOwed = false;
  }

  // ---- attempts ----

  /** Counts an attempt that started (1) or ended (-1) under the lease. */
  void addInFlight(int change) {
    Invariant.holds(
        inFlight + change >= 0,
        () -> "more attempts of group " + group + " ended than were started");
    inFlight = Math.max(0, inFlight + change);
  }

  /** An attempt ended here that an engine may still execute until then. */
  void onAttemptUncertain(long until) {
    uncertainUntil = Math.max(uncertainUntil, until);
  }

  /** Whether an attempt that was written under the lease may still be executed by an engine. */
  boolean mayHaveAttempts() {
    return inFlight > 0 || uncertainUntil > 0;
  }

  /** Whether the last attempt ended that a release waited for. */
  boolean isReadyForRelease() {
    return inFlight == 0 && releaseAwaitsAttempts;
  }

  private void expireUncertainty(long now) {
    uncertainUntil = uncertainUntil > now ? uncertainUntil : 0;
  }

  // ---- release ----

  /** Follows the catalog: the lease is released for a change once no attempt may be left. */
  Step onTick(long now, Catalog catalog, long leaseLength) {
    expireUncertainty(now);
    releaseAwaitsAttempts = false;
    if (version != catalog.version(group)) {
      version = catalog.version(group);
      dropGrants();
      return Step.REQUEST;
    }
    boolean held = hasGrants();
    if (held && catalog.blocked(group)) {
      return release(now, leaseLength);
    }
    if (now >= releaseDueAt) {
      boolean again = !held && catalog.blocked(group) && now < releaseRetryUntil;
      releaseDueAt = again ? now + RELEASE_INTERVAL : NOT_DUE;
      return again ? Step.RELEASE : Step.NONE;
    }
    return Step.NONE;
  }

  private Step release(long now, long leaseLength) {
    if (mayHaveAttempts()) {
      releaseAwaitsAttempts = true;
      releaseDueAt = NOT_DUE;
      return Step.NONE;
    }
    dropGrants();
    releaseDueAt = now + RELEASE_INTERVAL;
    releaseRetryUntil = now + leaseLength;
    return Step.RELEASE;
  }

  /** Stops relying on the lease; returns whether it can be released at once. */
  boolean abandon(long now) {
    expireUncertainty(now);
    boolean held = hasGrants();
    dropGrants();
    releaseOwed = held && mayHaveAttempts();
    return !mayHaveAttempts();
  }

  /** When {@link #onTick} has something to do, if nothing else happens. */
  long nextDueAt() {
    return uncertainUntil > 0 ? Math.min(releaseDueAt, uncertainUntil) : releaseDueAt;
  }
}
