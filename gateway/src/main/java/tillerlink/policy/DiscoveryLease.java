package tillerlink.policy;

import java.util.ArrayDeque;
import tillerlink.plain.Units;

/**
 * Until when the endpoint list may be used for new attempts, given what this process can know.
 *
 * <p>A watch event (an engine drains or is gone) must be obeyed a grace after this gateway was
 * notified of it. It counts as notified when an answer with the event is sent, whether or not that
 * arrives or is read in time, and at the latest some time after it happened. So knowledge is a
 * lease: an answer to a poll sent at {@code t} proves the list as of {@code t}. The notification of
 * anything newer was sent no earlier than the first later poll that has no answer here, and no
 * earlier than {@link #ASSUMED_NOTIFIED_AFTER} after {@code t}. From a grace after that moment on
 * the list is unsafe until another answer comes.
 *
 * <p>What is unsafe because this process did not poll or did not run is awaited: a poll is
 * outstanding and the answer takes milliseconds. What stays without an answer for several polls in
 * a row is most likely an outage of the discovery service, in which nobody is notified of anything;
 * then the last list is used up to {@link #ASSUMED_NOTIFIED_IN_OUTAGE_AFTER}, after which events
 * count as notified whether or not an answer arrived. docs/incidents/incident-1.md has the price of
 * each choice.
 *
 * <p>Times are tenths of a millisecond of a clock that never steps.
 */
public final class DiscoveryLease {
  /** An event counts as notified this long after it happened, even without a poll. */
  public static final long ASSUMED_NOTIFIED_AFTER = 1_500 * Units.TENTHS_PER_MS;

  /** The same while answers don't arrive. */
  public static final long ASSUMED_NOTIFIED_IN_OUTAGE_AFTER = 7_000 * Units.TENTHS_PER_MS;

  /**
   * Share of the grace that is used; the rest is for event-loop iterations, writes and the way to
   * the engine.
   */
  private static final double USED_GRACE_SHARE = 0.8;

  /** So many unanswered polls in a row, over so many graces, are an outage and no random losses. */
  private static final int OUTAGE_POLLS = 6;

  private static final int OUTAGE_GRACES = 2;
  private static final int MAX_OUTSTANDING = 64;

  /** A shorter gap between two event-loop iterations is no pause, however short the grace. */
  private static final long MIN_PAUSE = 300 * Units.TENTHS_PER_MS;

  private final long grace;
  private final long usableGrace;

  /** When the polls without an answer were sent, oldest first. */
  private final ArrayDeque<Long> outstanding = new ArrayDeque<>();

  /** When the newest poll with an answer was sent; the start, while there is none. */
  private long confirmedAt;

  private boolean everConfirmed;

  /** When an answer with an older list came last. */
  private long outdatedAnswerAt;

  /** Polls since the last timely answer or pause, and when the first of them was sent. */
  private int unanswered;

  private long unansweredSince = Long.MAX_VALUE;
  private long observedAt;

  /**
   * @param now the start of the gateway; its first list may be of any age
   * @param grace how long after its notification an event must be obeyed
   */
  public DiscoveryLease(long now, long grace) {
    this.grace = grace;
    usableGrace = Math.max(1, (long) (grace * USED_GRACE_SHARE));
    confirmedAt = now;
    outdatedAnswerAt = now;
    observedAt = now;
  }

  /**
   * Called in every event-loop iteration. A gap means that this process was paused: polls sent
   * before it prove nothing of an outage.
   *
   * @return whether it was paused, so that the discovery service is to be polled at once
   */
  public boolean observe(long now) {
    boolean paused = now > observedAt + Math.max(grace / 2, MIN_PAUSE);
    observedAt = now;
    if (paused) {
      unanswered = 0;
      unansweredSince = Long.MAX_VALUE;
    }
    return paused;
  }

  /** A poll is sent. */
  public void onPollSent(long now) {
    outstanding.addLast(now);
    if (outstanding.size() > MAX_OUTSTANDING) {
      // The second oldest goes: the oldest shows since when a notification may have been sent.
      Long oldest = outstanding.removeFirst();
      outstanding.removeFirst();
      outstanding.addFirst(oldest);
    }
    unanswered++;
    unansweredSince = Math.min(unansweredSince, now);
  }

  /** The answer to the poll sent at that time was taken in. */
  public void onPollAnswered(long polledAt, long now) {
    outstanding.removeIf(at -> at <= polledAt);
    confirmedAt = everConfirmed ? Math.max(confirmedAt, polledAt) : polledAt;
    everConfirmed = true;
    if (now - polledAt < usableGrace) {
      unanswered = outstanding.size();
      unansweredSince = outstanding.isEmpty() ? Long.MAX_VALUE : outstanding.peekFirst();
    }
  }

  /**
   * An answer came with a list older than the known one: the service is there, and proves nothing
   * newer.
   */
  public void onOutdatedAnswer(long now) {
    outdatedAnswerAt = now;
  }

  /** How far the list may be trusted now. */
  public EndpointListState state(long now) {
    if (everConfirmed && now < confirmedUntil()) {
      return EndpointListState.CONFIRMED;
    }
    if (now < outageFrom()) {
      return EndpointListState.AWAITED;
    }
    return now < expiresAt() ? EndpointListState.DEGRADED : EndpointListState.EXPIRED;
  }

  /** New attempts may be written before this moment; in the past if none may. */
  public long usableUntil(long now) {
    return switch (state(now)) {
      case CONFIRMED -> confirmedUntil();
      case DEGRADED -> expiresAt();
      case AWAITED, EXPIRED -> 0;
    };
  }

  /** When the state changes next without any event. */
  public long changesAt(long now) {
    return switch (state(now)) {
      case CONFIRMED -> confirmedUntil();
      case AWAITED -> outageFrom();
      case DEGRADED -> expiresAt();
      case EXPIRED -> Long.MAX_VALUE;
    };
  }

  /** Age of the list in use, at the least. */
  public long age(long now) {
    return now - confirmedAt;
  }

  private long confirmedUntil() {
    long newerNotifiedAt = confirmedAt + ASSUMED_NOTIFIED_AFTER;
    if (!outstanding.isEmpty()) {
      newerNotifiedAt = Math.min(newerNotifiedAt, outstanding.peekFirst());
    }
    return newerNotifiedAt + usableGrace;
  }

  private long outageFrom() {
    return unanswered < OUTAGE_POLLS ? Long.MAX_VALUE : unansweredSince + OUTAGE_GRACES * grace;
  }

  private long expiresAt() {
    return Math.max(confirmedAt, outdatedAnswerAt) + ASSUMED_NOTIFIED_IN_OUTAGE_AFTER + usableGrace;
  }
}
