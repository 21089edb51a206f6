package tillerlink.net.state;

import java.util.ArrayDeque;
import java.util.Random;
import tillerlink.net.wire.Dns;
import tillerlink.net.wire.EndpointWatchEvent;
import tillerlink.plain.Units;
import tillerlink.policy.DiscoveryLease;
import tillerlink.telemetry.Counter;
import tillerlink.telemetry.EventLog.Topic;
import tillerlink.telemetry.Telemetry;

/**
 * Queries the discovery service. An answer counts once, and only if it is one to the latest
 * queries.
 *
 * <p>Each gateway sends a query once in the grace of a drain: what an answer publishes must be
 * known here a grace after it was sent, and the service counts what it did not send as published
 * only some graces later. A query whose answer does not come is repeated after a quarter of that,
 * at growing waits once many were lost; where two got no answer, over another socket, for the one
 * in use may have fallen silent for good. The period is drawn anew each time: guards the service
 * against a fleet that was started at one moment and would send its queries in step for good.
 *
 * <p>Owned by the event-loop thread; all times are tenths of a millisecond.
 */
final class DiscoveryClient {
  private static final int MAX_OUTSTANDING = 8;
  private static final int QUICK_RETRIES = 4;
  private static final double SPREAD = 0.2;

  /**
   * The first query is sent within this share of the period: nothing is sent to engines before its
   * answer.
   */
  private static final double FIRST_WITHIN = 0.6;

  /** So many queries in a row without an answer are worth a line in the log. */
  private static final int MANY_UNANSWERED = 3;

  /** A query that was sent and not yet answered. */
  private record Query(int id, long sentAt) {}

  private final ArrayDeque<Query> outstanding = new ArrayDeque<>();
  private final Telemetry telemetry;
  private final DiscoveryLease lease;
  private final Random random;
  private final NetworkDriver driver;
  private final long period;
  private long lastAt;
  private long nextAt;

  /** Queries since the last answer. */
  private int unanswered;

  private boolean answeredBefore;

  /**
   * @param grace how long after an answer was sent what it publishes must be obeyed
   */
  DiscoveryClient(NetworkDriver driver, long seed, long now, long grace, Telemetry telemetry) {
    this.driver = driver;
    this.telemetry = telemetry;
    random = new Random(seed);
    period = Math.max(1, grace);
    lease = new DiscoveryLease(now, period);
    nextAt = now + (long) (period * FIRST_WITHIN * random.nextDouble());
  }

  /** Sends a query if that is due. */
  void pollIfDue(long now) {
    if (lease.observe(now)) {
      nextAt = now;
    }
    if (now >= nextAt) {
      long wait = nextWait();
      warnIfUnanswered(now);
      lastAt = now;
      nextAt = now + Math.max(1, wait);
      send(now);
    }
  }

  /** Until the next query if this one is not answered; counts it as unanswered. */
  private long nextWait() {
    int doublings = Math.max(0, Math.min(2 * QUICK_RETRIES, unanswered++) - QUICK_RETRIES);
    return Math.min(period, (period / QUICK_RETRIES) << doublings);
  }

  private void warnIfUnanswered(long now) {
    if (unanswered > 1 && unanswered % 2 == 1) {
      telemetry.metrics().add(Counter.DISCOVERY_SOCKETS_REPLACED);
      driver.replaceDiscoverySocket();
    }
    if (unanswered == MANY_UNANSWERED + 1) {
      telemetry
          .log()
          .event(
              now,
              Topic.DISCOVERY,
              "discovery service does not answer",
              "unanswered",
              MANY_UNANSWERED,
              "list_age_ms",
              lease.age(now) / Units.TENTHS_PER_MS);
    }
  }

  private void send(long now) {
    int id = random.nextInt(1 << 16);
    outstanding.addLast(new Query(id, now));
    if (outstanding.size() > MAX_OUTSTANDING) {
      outstanding.removeFirst();
    }
    telemetry.metrics().add(Counter.DISCOVERY_QUERIES);
    lease.onPollSent(now);
    driver.sendDiscoveryQuery(Dns.query(id));
  }

  /** When the next query is due, or the state of the list changes. */
  long dueAt(long now) {
    return Math.min(nextAt, lease.changesAt(now));
  }

  /** How far the list may be used that its answers published. */
  DiscoveryLease lease() {
    return lease;
  }

  /** It has another address: it is queried at once, and no earlier query counts any more. */
  void onAddressChanged(long now) {
    outstanding.clear();
    unanswered = 0;
    nextAt = now;
  }

  /**
   * An answer has come.
   *
   * @param known the number of the newest event that is known: an answer with an older list
   *     confirms nothing
   * @throws IllegalArgumentException if the datagram is of no use; the message says why
   */
  EndpointWatchEvent onAnswer(long now, byte[] datagram, long known) {
    int id = Dns.id(datagram);
    Query query = outstanding.stream().filter(one -> one.id == id).findFirst().orElse(null);
    if (query == null) {
      throw new IllegalArgumentException("an answer to no query of ours");
    }
    outstanding.remove(query);
    EndpointWatchEvent event = Dns.answer(datagram, id);
    logAnswer(now, query, event);
    if (event.index() >= known) {
      lease.onPollAnswered(query.sentAt, now);
    } else {
      lease.onOutdatedAnswer(now);
    }
    unanswered = 0;
    nextAt = lastAt + (long) (period * (1 - SPREAD * random.nextDouble()));
    return event;
  }

  private void logAnswer(long now, Query query, EndpointWatchEvent event) {
    telemetry.metrics().add(Counter.DISCOVERY_ANSWERS);
    if (!answeredBefore || unanswered > MANY_UNANSWERED) {
      telemetry
          .log()
          .event(
              now,
              Topic.DISCOVERY,
              answeredBefore
                  ? "discovery service answers again"
                  : "first answer of the discovery service",
              "version",
              event.index(),
              "unanswered",
              unanswered - 1,
              "asked_ms_ago",
              (now - query.sentAt) / Units.TENTHS_PER_MS);
    }
    answeredBefore = true;
  }
}
