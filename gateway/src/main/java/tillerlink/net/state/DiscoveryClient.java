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
 * What was asked of the discovery service: an answer counts once, and only if it is one of the
 * latest questions'.
 *
 * <p>Each gateway asks once in the grace of a drain: what an answer tells must be known here a
 * grace after it was sent, and the service counts what it did not send as told only some graces
 * later. A question whose answer does not come is asked again after a quarter of that, at growing
 * waits once many were lost; where two got no answer, over another way, for the one in use may have
 * fallen silent for good. The period is drawn anew each time: guards the service against a fleet
 * that was started at one moment and would ask in step for good.
 */
final class DiscoveryClient {
  private static final int KEPT = 8;
  private static final int QUICK = 4;
  private static final double SPREAD = 0.2;

  /**
   * The first question is sent within this share of the period: nothing is sent to engines before
   * its answer.
   */
  private static final double FIRST_WITHIN = 0.6;

  /** So many questions in a row without an answer are worth a line in the log. */
  private static final int MANY_UNANSWERED = 3;

  /** A question that was sent and not yet answered. */
  private record Question(int id, long askedAt) {}

  private final ArrayDeque<Question> asked = new ArrayDeque<>();
  private final Telemetry telemetry;
  private final DiscoveryLease lease;
  private final Random random;
  private final NetworkDriver driver;
  private final long period;
  private long lastAt;
  private long nextAt;

  /** Questions since the last answer. */
  private int unanswered;

  private boolean answeredBefore;

  /**
   * @param grace how long after an answer was sent what it tells must be heeded
   */
  DiscoveryClient(NetworkDriver driver, long seed, long now, long grace, Telemetry telemetry) {
    this.driver = driver;
    this.telemetry = telemetry;
    random = new Random(seed);
    period = Math.max(1, grace);
    lease = new DiscoveryLease(now, period);
    nextAt = now + (long) (period * FIRST_WITHIN * random.nextDouble());
  }

  void sweep(long now) {
    if (lease.observe(now)) {
      nextAt = now;
    }
    if (now >= nextAt) {
      long wait =
          Math.min(
              period, period / QUICK << Math.max(0, Math.min(2 * QUICK, unanswered++) - QUICK));
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
      lastAt = now;
      nextAt = now + Math.max(1, wait);
      int id = random.nextInt(1 << 16);
      asked.addLast(new Question(id, now));
      if (asked.size() > KEPT) {
        asked.removeFirst();
      }
      telemetry.metrics().add(Counter.DISCOVERY_QUERIES);
      lease.asked(now);
      driver.sendDiscoveryQuery(Dns.query(id));
    }
  }

  /** When the next question is due, or the trust in the list changes. */
  long dueAt(long now) {
    return Math.min(nextAt, lease.changesAt(now));
  }

  /** How far the list may be trusted that its answers told. */
  DiscoveryLease lease() {
    return lease;
  }

  /** It is to be asked elsewhere: at once, and nothing that was asked before counts any more. */
  void moved(long now) {
    asked.clear();
    unanswered = 0;
    nextAt = now;
  }

  /**
   * @param known the number of the newest event that is known: an answer with an older list
   *     confirms nothing
   * @throws IllegalArgumentException if the datagram is of no use; the message says why
   */
  EndpointWatchEvent take(long now, byte[] datagram, long known) {
    int id = Dns.id(datagram);
    Question question = asked.stream().filter(one -> one.id == id).findFirst().orElse(null);
    if (question == null) {
      throw new IllegalArgumentException("an answer to no query of ours");
    }
    asked.remove(question);
    EndpointWatchEvent news = Dns.answer(datagram, id);
    logAnswer(now, question, news);
    if (news.index() >= known) {
      lease.answered(question.askedAt, now);
    } else {
      lease.answeredWithOlder(now);
    }
    unanswered = 0;
    nextAt = lastAt + (long) (period * (1 - SPREAD * random.nextDouble()));
    return news;
  }

  private void logAnswer(long now, Question question, EndpointWatchEvent news) {
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
              news.index(),
              "unanswered",
              unanswered - 1,
              "asked_ms_ago",
              (now - question.askedAt) / Units.TENTHS_PER_MS);
    }
    answeredBefore = true;
  }
}
