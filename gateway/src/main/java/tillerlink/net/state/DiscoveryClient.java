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
 * A client that polls the discovery service. An answer is accepted once, and only if it belongs to
 * one of the latest queries.
 *
 * <p>The client sends one query in each drain grace. The reason is that an update must be obeyed
 * one grace after the answer that contains it was sent, and that the service counts an update that
 * it has not sent as published only several graces later.
 *
 * <p>A query without an answer is repeated after a quarter of the grace, and at growing intervals
 * once many queries were lost. After two queries without an answer the next is sent over another
 * socket, because the current one may have stopped receiving permanently.
 *
 * <p>Each interval gets a new random reduction. This guards the service against a fleet whose
 * gateways were started at the same moment and would otherwise send their queries in step
 * indefinitely.
 *
 * <p>Confined to the event-loop thread; all times are tenths of a millisecond.
 */
final class DiscoveryClient {
  private static final int MAX_OUTSTANDING = 8;

  /**
   * The number of unanswered queries that are repeated at the shortest interval before the interval
   * grows. The period is that many times as long as the shortest interval.
   */
  private static final int QUICK_RETRIES = 4;

  /** The largest share of the period by which an interval is randomly shortened. */
  private static final double INTERVAL_JITTER_SHARE = 0.2;

  /**
   * The share of the period within which the first query is sent, at a random time. It is below 1
   * because no attempt is sent to an engine before the first answer.
   */
  private static final double FIRST_QUERY_WINDOW_SHARE = 0.6;

  /** The number of consecutive queries without an answer that is reported in the log. */
  private static final int UNANSWERED_LOG_THRESHOLD = 3;

  /**
   * A query that was sent and not yet answered.
   *
   * @param id the DNS message id
   * @param sentAt when it was sent, in tenths of a millisecond
   */
  private record Query(int id, long sentAt) {}

  private final ArrayDeque<Query> outstanding = new ArrayDeque<>();
  private final Telemetry telemetry;
  private final DiscoveryLease lease;
  private final Random random;
  private final NetworkDriver driver;

  /** The longest interval between queries. */
  private final long period;

  private long lastSentAt;
  private long nextDueAt;

  /** The number of queries sent since the last answer. */
  private int unanswered;

  private boolean answeredBefore;

  /**
   * Creates a client that sends its first query at a random time soon after the start.
   *
   * @param seed the seed of the random intervals and query ids
   * @param now the time of the start, in tenths of a millisecond
   * @param grace how long after an answer was sent its updates must be obeyed, in tenths of a
   *     millisecond; also the longest interval between queries
   */
  DiscoveryClient(NetworkDriver driver, long seed, long now, long grace, Telemetry telemetry) {
    this.driver = driver;
    this.telemetry = telemetry;
    random = new Random(seed);
    period = Math.max(1, grace);
    lease = new DiscoveryLease(now, period);
    nextDueAt = now + (long) (period * FIRST_QUERY_WINDOW_SHARE * random.nextDouble());
  }

  /** Sends a query if one is due, or at once if this process was paused. */
  void pollIfDue(long now) {
    if (lease.detectPause(now)) {
      nextDueAt = now;
    }
    if (now >= nextDueAt) {
      long wait = countAndGetRetryInterval();
      handleUnanswered(now);
      lastSentAt = now;
      nextDueAt = now + Math.max(1, wait);
      send(now);
    }
  }

  /**
   * Counts the query that is about to be sent as unanswered and returns how long to wait before it
   * is repeated, in tenths of a millisecond.
   */
  private long countAndGetRetryInterval() {
    int doublings = Math.max(0, Math.min(2 * QUICK_RETRIES, unanswered++) - QUICK_RETRIES);
    return Math.min(period, (period / QUICK_RETRIES) << doublings);
  }

  /** Replaces the socket and logs an event once enough queries in a row got no answer. */
  private void handleUnanswered(long now) {
    if (unanswered > 1 && unanswered % 2 == 1) {
      telemetry.metrics().add(Counter.DISCOVERY_SOCKETS_REPLACED);
      driver.replaceDiscoverySocket();
    }
    if (unanswered == UNANSWERED_LOG_THRESHOLD + 1) {
      telemetry
          .log()
          .event(
              now,
              Topic.DISCOVERY,
              "discovery service does not answer",
              "unanswered",
              UNANSWERED_LOG_THRESHOLD,
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
    driver.sendDiscoveryQuery(Dns.encodeQuery(id));
  }

  /**
   * Returns when the next query is due or the state of the endpoint list changes by itself,
   * whichever is first, in tenths of a millisecond.
   */
  long dueAt(long now) {
    return Math.min(nextDueAt, lease.nextChangeAt(now));
  }

  /** Returns the lease that limits how long the endpoint list from the answers may be used. */
  DiscoveryLease lease() {
    return lease;
  }

  /**
   * Reacts to a new address of the discovery service: drops all outstanding queries, so that their
   * answers are not accepted, and makes the next query due at once.
   */
  void onAddressChanged(long now) {
    outstanding.clear();
    lease.onAddressChanged(now);
    unanswered = 0;
    nextDueAt = now;
  }

  /**
   * Parses an answer and renews the lease.
   *
   * @param knownSerial the serial of the newest complete watch event that was applied; an answer
   *     with a lower serial does not confirm the endpoint list
   * @return the watch event in the answer
   * @throws IllegalArgumentException if the datagram answers no outstanding query or cannot be
   *     parsed; the message states the reason
   */
  EndpointWatchEvent onAnswer(long now, byte[] datagram, long knownSerial) {
    int id = Dns.messageId(datagram);
    Query query =
        outstanding.stream().filter(candidate -> candidate.id == id).findFirst().orElse(null);
    if (query == null) {
      throw new IllegalArgumentException("answer id " + id + " matches no outstanding query");
    }
    outstanding.remove(query);
    EndpointWatchEvent event = Dns.parseAnswer(datagram, id);
    logAnswer(now, query, event);
    if (event.serial() >= knownSerial) {
      lease.onPollAnswered(query.sentAt, now);
    }
    unanswered = 0;
    nextDueAt = lastSentAt + (long) (period * (1 - INTERVAL_JITTER_SHARE * random.nextDouble()));
    return event;
  }

  private void logAnswer(long now, Query query, EndpointWatchEvent event) {
    telemetry.metrics().add(Counter.DISCOVERY_ANSWERS);
    if (!answeredBefore || unanswered > UNANSWERED_LOG_THRESHOLD) {
      telemetry
          .log()
          .event(
              now,
              Topic.DISCOVERY,
              answeredBefore
                  ? "discovery service answers again"
                  : "first answer of the discovery service",
              "version",
              event.serial(),
              "unanswered",
              unanswered - 1,
              "asked_ms_ago",
              (now - query.sentAt) / Units.TENTHS_PER_MS);
    }
    answeredBefore = true;
  }
}
