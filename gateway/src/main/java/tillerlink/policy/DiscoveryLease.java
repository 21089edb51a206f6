package tillerlink.policy;

import java.util.ArrayDeque;
import tillerlink.plain.Units;
import tillerlink.port.EndpointListState;

/**
 * Determines until when the endpoint list may be used for new attempts, from the polls that this
 * process has sent and the answers that it has received.
 *
 * <p>A gateway must obey a watch event (an engine drains or leaves) within a grace after it was
 * notified of the event. It counts as notified when an answer with the event is sent to it, whether
 * or not that answer arrives or is read in time, and at the latest a fixed time after the event
 * happened. The known list is therefore a lease: an answer to a poll sent at {@code t} proves the
 * list as of {@code t}. The notification of anything newer was sent no earlier than the first later
 * poll without an answer, or {@link #ASSUMED_NOTIFIED_AFTER} after {@code t} if that is earlier.
 * One grace after that moment the list becomes unsafe, until another answer arrives.
 *
 * <p>A list that is unsafe because this process did not poll or did not run is {@link
 * EndpointListState#AWAITED}: a poll is outstanding, and its answer takes milliseconds. If several
 * polls in a row stay unanswered, the cause is most likely an outage of the discovery service, in
 * which no gateway is notified of anything. The last list is then used up to {@link
 * #ASSUMED_NOTIFIED_IN_OUTAGE_AFTER}, after which events count as notified whether or not an answer
 * arrived. The cost of each choice is described in docs/incidents/incident-1.md.
 *
 * <p>Times are tenths of a millisecond of a monotonic clock.
 */
public final class DiscoveryLease {
  /**
   * Time after an event at which it counts as notified even without a poll, in tenths of a
   * millisecond.
   */
  public static final long ASSUMED_NOTIFIED_AFTER = 1_500 * Units.TENTHS_PER_MS;

  /**
   * Time after an event at which it counts as notified while answers do not arrive, in tenths of a
   * millisecond.
   */
  public static final long ASSUMED_NOTIFIED_IN_OUTAGE_AFTER = 7_000 * Units.TENTHS_PER_MS;

  /**
   * Time after a change of the discovery service's address at which all earlier events count as
   * notified, in tenths of a millisecond.
   */
  public static final long ASSUMED_NOTIFIED_AFTER_MOVE = 4_000 * Units.TENTHS_PER_MS;

  /**
   * Share of the grace that is used. The rest is left for event-loop iterations, writes and the
   * transmission to the engine.
   */
  private static final double USED_GRACE_SHARE = 0.8;

  /**
   * Minimum number of unanswered polls in a row that count as an outage. Fewer may be random
   * losses.
   */
  private static final int MIN_OUTAGE_POLLS = 6;

  /** Minimum time without an answer that counts as an outage, in graces. */
  private static final int MIN_OUTAGE_GRACES = 2;

  private static final int MAX_OUTSTANDING_POLLS = 64;

  /**
   * Longest gap between two event-loop iterations that never counts as a pause, however short the
   * grace is.
   */
  private static final long MIN_PAUSE = 300 * Units.TENTHS_PER_MS;

  private final long grace;
  private final long usableGrace;

  /** Times at which the polls without an answer were sent, oldest first. */
  private final ArrayDeque<Long> outstandingPolls = new ArrayDeque<>();

  /**
   * Time at which the newest answered poll was sent; the time of the start before the first answer.
   */
  private long confirmedAt;

  private boolean hasBeenConfirmed;

  /**
   * Time at which what the previous discovery service has not published counts as notified at the
   * latest; {@link Long#MAX_VALUE} if its address has not changed since the last confirmation.
   */
  private long notifiedAfterMoveAt = Long.MAX_VALUE;

  /** Number of polls since the last timely answer or pause. */
  private int unansweredPolls;

  /** Time at which the first of the {@link #unansweredPolls} was sent. */
  private long unansweredSince = Long.MAX_VALUE;

  private long lastIterationAt;

  /**
   * Creates a lease that has not been confirmed yet.
   *
   * @param now the time of the gateway's start; its first list may be of any age
   * @param grace time within which an event must be obeyed after its notification, in tenths of a
   *     millisecond
   */
  public DiscoveryLease(long now, long grace) {
    this.grace = grace;
    usableGrace = Math.max(1, (long) (grace * USED_GRACE_SHARE));
    confirmedAt = now;
    lastIterationAt = now;
  }

  /**
   * Detects pauses of this process. To be called in every event-loop iteration. After a gap between
   * iterations the polls sent before it no longer indicate an outage.
   *
   * @return whether the process was paused, in which case the discovery service is to be polled at
   *     once
   */
  public boolean detectPause(long now) {
    boolean paused = now > lastIterationAt + Math.max(grace / 2, MIN_PAUSE);
    lastIterationAt = now;
    if (paused) {
      unansweredPolls = 0;
      unansweredSince = Long.MAX_VALUE;
    }
    return paused;
  }

  /** Records that a poll was sent. */
  public void onPollSent(long now) {
    outstandingPolls.addLast(now);
    if (outstandingPolls.size() > MAX_OUTSTANDING_POLLS) {
      // Removes the second oldest: the oldest determines since when a notification may have been
      // sent.
      Long oldestPoll = outstandingPolls.removeFirst();
      outstandingPolls.removeFirst();
      outstandingPolls.addFirst(oldestPoll);
    }
    unansweredPolls++;
    unansweredSince = Math.min(unansweredSince, now);
  }

  /**
   * Records that the answer to a poll was processed.
   *
   * @param polledAt the time at which the poll was sent
   * @param now the present time; an answer that took a usable grace or longer does not end a series
   *     of unanswered polls
   */
  public void onPollAnswered(long polledAt, long now) {
    outstandingPolls.removeIf(sentAt -> sentAt <= polledAt);
    confirmedAt = hasBeenConfirmed ? Math.max(confirmedAt, polledAt) : polledAt;
    hasBeenConfirmed = true;
    notifiedAfterMoveAt = Long.MAX_VALUE;
    if (now - polledAt < usableGrace) {
      unansweredPolls = outstandingPolls.size();
      unansweredSince = outstandingPolls.isEmpty() ? Long.MAX_VALUE : outstandingPolls.peekFirst();
    }
  }

  /**
   * Records that the discovery service has another address. Until an answer from there confirms the
   * list, the list may be used for {@link #ASSUMED_NOTIFIED_AFTER_MOVE} at most, counted from the
   * first such change.
   */
  public void onAddressChanged(long now) {
    notifiedAfterMoveAt = Math.min(notifiedAfterMoveAt, now + ASSUMED_NOTIFIED_AFTER_MOVE);
  }

  /** Returns how far the list can be trusted now. */
  public EndpointListState state(long now) {
    if (hasBeenConfirmed && now < confirmedUntil()) {
      return EndpointListState.CONFIRMED;
    }
    if (now < outageFrom()) {
      return EndpointListState.AWAITED;
    }
    return now < expiresAt() ? EndpointListState.DEGRADED : EndpointListState.EXPIRED;
  }

  /**
   * Returns the time before which new attempts may be written. It lies in the past if none may be
   * written.
   */
  public long usableUntil(long now) {
    return switch (state(now)) {
      case CONFIRMED -> confirmedUntil();
      case DEGRADED -> expiresAt();
      case AWAITED, EXPIRED -> 0;
    };
  }

  /**
   * Returns the time at which the state changes next without any event, or {@link Long#MAX_VALUE}
   * if it does not change.
   */
  public long nextChangeAt(long now) {
    return switch (state(now)) {
      case CONFIRMED -> confirmedUntil();
      case AWAITED -> outageFrom();
      case DEGRADED -> expiresAt();
      case EXPIRED -> Long.MAX_VALUE;
    };
  }

  /** Returns a lower bound of the age of the list in use, in tenths of a millisecond. */
  public long age(long now) {
    return now - confirmedAt;
  }

  private long confirmedUntil() {
    long newerNotifiedAt = confirmedAt + ASSUMED_NOTIFIED_AFTER;
    if (!outstandingPolls.isEmpty()) {
      newerNotifiedAt = Math.min(newerNotifiedAt, outstandingPolls.peekFirst());
    }
    return newerNotifiedAt + usableGrace;
  }

  private long outageFrom() {
    return unansweredPolls < MIN_OUTAGE_POLLS
        ? Long.MAX_VALUE
        : unansweredSince + MIN_OUTAGE_GRACES * grace;
  }

  private long expiresAt() {
    long notifiedAt = confirmedAt + ASSUMED_NOTIFIED_IN_OUTAGE_AFTER;
    return Math.min(notifiedAt, notifiedAfterMoveAt) + usableGrace;
  }
}
