package tillerlink.policy;

import java.util.ArrayDeque;
import tillerlink.plain.Units;

/**
 * Until when the endpoint list may be used for new attempts, given what this process can know.
 *
 * <p>An event (an engine drains or is gone) must be obeyed a grace after it was told. It counts as
 * told when an answer that holds it is sent, whether or not that arrives or is read in time, and at
 * the latest some time after it happened. So knowledge is a lease: an answer to a question asked at
 * {@code t} proves the list as of {@code t}. Anything newer was told no earlier than the first
 * later question that has no answer here, and no earlier than {@link #ASSUMED_NOTIFIED_AFTER} after
 * {@code t}. From a grace after that moment on the list is unsafe until another answer comes.
 *
 * <p>What is unsafe because this process did not ask or did not run is awaited: a question is out
 * and the answer takes milliseconds. What stays without an answer for several questions in a row is
 * most likely an outage of the discovery service, in which nobody is told anything; then the last
 * list is used up to {@link #ASSUMED_NOTIFIED_IN_OUTAGE_AFTER}, after which events count as told
 * whether or not an answer arrived. docs/incidents/incident-1.md has the price of each choice.
 *
 * <p>Times are tenths of a millisecond of a clock that never steps.
 */
public final class DiscoveryLease {
  /** An event counts as told this long after it happened, though nobody asked. */
  public static final long ASSUMED_NOTIFIED_AFTER = 1_500 * Units.TENTHS_PER_MS;

  /** The same where answers don't arrive. */
  public static final long ASSUMED_NOTIFIED_IN_OUTAGE_AFTER = 7_000 * Units.TENTHS_PER_MS;

  /** Share of the grace that is used; the rest pays for turns, writes and the way to the engine. */
  private static final double USED_GRACE_SHARE = 0.8;

  /**
   * So many unanswered questions in a row, over so many graces, are an outage and no chance losses.
   */
  private static final int OUTAGE_POLLS = 6;

  private static final int OUTAGE_GRACES = 2;
  private static final int MAX_OUTSTANDING = 64;

  /** A gap between two turns below this is none, however short the grace. */
  private static final long MIN_PAUSE = 300 * Units.TENTHS_PER_MS;

  private final long grace;
  private final long usableGrace;

  /** When the questions without an answer were asked, oldest first. */
  private final ArrayDeque<Long> outstanding = new ArrayDeque<>();

  /** When the newest question was asked that has an answer; the start, while none has. */
  private long confirmedAt;

  private boolean everConfirmed;

  /** When an answer with an older list came last. */
  private long outdatedAnswerAt;

  /** Questions since the last timely answer or pause, and when the first of them was asked. */
  private int unanswered;

  private long unansweredSince = Long.MAX_VALUE;
  private long observedAt;

  /**
   * @param now the start of the gateway; its first list may be of any age
   * @param grace how long after an event was told it must be obeyed
   */
  public DiscoveryLease(long now, long grace) {
    this.grace = grace;
    usableGrace = Math.max(1, (long) (grace * USED_GRACE_SHARE));
    confirmedAt = now;
    outdatedAnswerAt = now;
    observedAt = now;
  }

  /**
   * Called in every turn. A gap means that this process stood still: questions asked before it
   * prove nothing of an outage.
   *
   * @return whether it stood still, so that the discovery service is to be asked at once
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

  /** A question is sent. */
  public void onPollSent(long now) {
    outstanding.addLast(now);
    if (outstanding.size() > MAX_OUTSTANDING) {
      // The second oldest goes: the oldest tells since when something newer may have been told.
      Long oldest = outstanding.removeFirst();
      outstanding.removeFirst();
      outstanding.addFirst(oldest);
    }
    unanswered++;
    unansweredSince = Math.min(unansweredSince, now);
  }

  /** The answer to the question asked then was taken in. */
  public void onPollAnswered(long askedAt, long now) {
    outstanding.removeIf(at -> at <= askedAt);
    confirmedAt = everConfirmed ? Math.max(confirmedAt, askedAt) : askedAt;
    everConfirmed = true;
    if (now - askedAt < usableGrace) {
      unanswered = outstanding.size();
      unansweredSince = outstanding.isEmpty() ? Long.MAX_VALUE : outstanding.peekFirst();
    }
  }

  /**
   * An answer came whose list is older than the one that is known: the service is there, and proves
   * nothing newer.
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

  /** When the state changes next though nothing comes. */
  public long changesAt(long now) {
    return switch (state(now)) {
      case CONFIRMED -> confirmedUntil();
      case AWAITED -> outageFrom();
      case DEGRADED -> expiresAt();
      case EXPIRED -> Long.MAX_VALUE;
    };
  }

  /** How old the list is at least that is in force. */
  public long age(long now) {
    return now - confirmedAt;
  }

  private long confirmedUntil() {
    long newerToldAt = confirmedAt + ASSUMED_NOTIFIED_AFTER;
    if (!outstanding.isEmpty()) {
      newerToldAt = Math.min(newerToldAt, outstanding.peekFirst());
    }
    return newerToldAt + usableGrace;
  }

  private long outageFrom() {
    return unanswered < OUTAGE_POLLS ? Long.MAX_VALUE : unansweredSince + OUTAGE_GRACES * grace;
  }

  private long expiresAt() {
    return Math.max(confirmedAt, outdatedAnswerAt) + ASSUMED_NOTIFIED_IN_OUTAGE_AFTER + usableGrace;
  }
}
