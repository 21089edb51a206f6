package tillerlink.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Times are tenths of a millisecond; the grace is half a second. */
class DiscoveryLeaseTest {
  private static final long START = 17_000_000_000_000L;
  private static final long GRACE = 5_000;
  private static final long USABLE = 4_000;
  private static final long SECOND = 10_000;

  private final DiscoveryLease lease = new DiscoveryLease(START, GRACE);

  @Test
  void initialListIsAwaitedUntilTheFirstAnswer() {
    assertEquals(EndpointListState.AWAITED, lease.state(START));
    assertEquals(0, lease.usableUntil(START));
    lease.onPollSent(START + 100);
    assertEquals(EndpointListState.AWAITED, lease.state(START + 200));
    lease.onPollAnswered(START + 100, START + 200);
    assertEquals(EndpointListState.CONFIRMED, lease.state(START + 200));
  }

  /**
   * With no poll since, something newer counts as notified 1.5 s after the last one at the
   * earliest.
   */
  @Test
  void answerHoldsUntilANewerEventCanBeAGraceOld() {
    confirm(START);
    long until = START + DiscoveryLease.ASSUMED_NOTIFIED_AFTER + USABLE;
    assertEquals(until, lease.usableUntil(START + SECOND));
    assertEquals(EndpointListState.CONFIRMED, lease.state(until - 1));
    assertEquals(EndpointListState.AWAITED, lease.state(until));
    assertEquals(until, lease.changesAt(START));
  }

  /** A poll may have been answered at once, and the answer lost. */
  @Test
  void outstandingPollShortensTheLease() {
    confirm(START);
    lease.onPollSent(START + 4_000);
    assertEquals(START + 4_000 + USABLE, lease.usableUntil(START + 4_100));
    lease.onPollSent(START + 5_250);
    assertEquals(START + 4_000 + USABLE, lease.usableUntil(START + 5_300));
    lease.onPollAnswered(START + 5_250, START + 5_300);
    assertEquals(
        START + 5_250 + DiscoveryLease.ASSUMED_NOTIFIED_AFTER + USABLE,
        lease.usableUntil(START + 5_300));
  }

  /** An answer that was sent long before it was read proves only the list as of its poll. */
  @Test
  void lateAnswerConfirmsAsOfItsPoll() {
    confirm(START);
    lease.onPollSent(START + 4_000);
    lease.onPollAnswered(START + 4_000, START + 60_000);
    assertEquals(EndpointListState.AWAITED, lease.state(START + 60_000));
  }

  @Test
  void sixUnansweredPollsInTwoGracesAreAnOutage() {
    confirm(START);
    for (int i = 0; i < 5; i++) {
      lease.onPollSent(START + 4_000 + i * 1_250L);
    }
    assertEquals(EndpointListState.AWAITED, lease.state(START + 40_000));
    lease.onPollSent(START + 10_250);
    assertEquals(EndpointListState.AWAITED, lease.state(START + 4_000 + 2 * GRACE - 1));
    assertEquals(EndpointListState.DEGRADED, lease.state(START + 4_000 + 2 * GRACE));
    long expires = START + DiscoveryLease.ASSUMED_NOTIFIED_IN_OUTAGE_AFTER + USABLE;
    assertEquals(expires, lease.usableUntil(START + 20_000));
    assertEquals(EndpointListState.EXPIRED, lease.state(expires));
    assertEquals(0, lease.usableUntil(expires));
    lease.onPollSent(expires);
    lease.onPollAnswered(expires, expires + 50);
    assertEquals(EndpointListState.CONFIRMED, lease.state(expires + 50));
  }

  /**
   * A process that was paused sent no polls meanwhile: silence before the pause is no outage after
   * it.
   */
  @Test
  void pauseResetsTheCountOfUnansweredPolls() {
    confirm(START);
    for (int i = 0; i < 6; i++) {
      lease.observe(START + 4_000 + i * 1_250L);
      lease.onPollSent(START + 4_000 + i * 1_250L);
    }
    assertEquals(EndpointListState.DEGRADED, lease.state(START + 20_000));
    assertTrue(lease.observe(START + 40_000));
    assertEquals(EndpointListState.AWAITED, lease.state(START + 40_000));
    assertFalse(lease.observe(START + 41_000));
  }

  /** A service that is there and lags proves nothing newer, but is no reason to refuse all. */
  @Test
  void outdatedAnswerConfirmsNothingAndKeepsTheListInUse() {
    confirm(START);
    for (long at = START + 4_000; at < START + 200_000; at += 2_500) {
      lease.observe(at);
      lease.onPollSent(at);
      lease.onOutdatedAnswer(at + 10);
    }
    assertEquals(EndpointListState.DEGRADED, lease.state(START + 200_000));
  }

  /**
   * A service whose every answer takes longer than the grace costs one wait and not one for each
   * poll.
   */
  @Test
  void onlyLateAnswersAreAnOutageThatNeverExpires() {
    confirm(START);
    int awaited = 0;
    for (long now = START; now < START + 60 * SECOND; now += 500) {
      lease.observe(now);
      if ((now - START) % 2_500 == 0) {
        lease.onPollSent(now);
      }
      if (now > START + 6_000 && (now - START) % 2_500 == 1_000) {
        lease.onPollAnswered(now - 6_000, now);
      }
      awaited += lease.state(now) == EndpointListState.AWAITED ? 500 : 0;
    }
    assertTrue(awaited <= 2 * GRACE, awaited + " tenths of a millisecond awaited in a minute");
  }

  /**
   * While an answer comes now and then and nothing else is awaited for long, no moment is usable
   * that lies a grace after the first answer that was sent and not received: checked against every
   * answer that was sent, in random histories.
   */
  @Test
  void noConfirmedMomentIsAGraceAfterALostAnswer() {
    for (int seed = 0; seed < 300; seed++) {
      Random random = new Random(seed);
      DiscoveryLease own = new DiscoveryLease(START, GRACE);
      long firstLost = Long.MAX_VALUE;
      long nextAt = START;
      for (long now = START; now < START + 20 * SECOND; now += 250) {
        own.observe(now);
        if (now >= nextAt) {
          own.onPollSent(now);
          boolean lost = random.nextInt(3) == 0;
          if (lost) {
            firstLost = Math.min(firstLost, now);
          } else {
            own.onPollAnswered(now, now);
            firstLost = Long.MAX_VALUE;
          }
          nextAt = now + 1_250 + random.nextInt(3_000);
        }
        if (own.state(now) == EndpointListState.CONFIRMED) {
          assertTrue(firstLost == Long.MAX_VALUE || now < firstLost + GRACE, "seed " + seed);
        }
      }
    }
  }

  private void confirm(long at) {
    lease.onPollSent(at);
    lease.onPollAnswered(at, at);
  }
}
