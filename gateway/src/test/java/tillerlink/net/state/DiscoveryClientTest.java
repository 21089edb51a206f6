package tillerlink.net.state;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import tillerlink.DiscoveryAnswers;
import tillerlink.telemetry.Telemetry;

/**
 * Tests the discovery queries of a fleet whose gateways were all started at the same moment. Times
 * are tenths of a millisecond.
 */
class DiscoveryClientTest {
  private static final int GATEWAYS = 100;
  private static final long STEP = 1250;
  private static final long GRACE = 5000;
  private static final long SECOND = 10_000;

  /**
   * Guards the discovery service against more queries than the drain rule needs, and against
   * queries of all gateways at the same time.
   */
  @Test
  void fleetSendsOneQueryPerGraceAndNotInStep() {
    RecordingDriver driver = new RecordingDriver();
    List<DiscoveryClient> fleet = fleet(driver);
    int mostInOneStep = 0;
    for (long now = 0; now < 20 * SECOND; now += STEP) {
      int queriesBefore = driver.queryIds.size();
      for (DiscoveryClient client : fleet) {
        client.pollIfDue(now);
        answer(client, now, driver, true);
      }
      mostInOneStep = Math.max(mostInOneStep, driver.queryIds.size() - queriesBefore);
    }
    double queriesPerSecond = driver.queryIds.size() / 20.0 / GATEWAYS;
    assertTrue(
        queriesPerSecond > 1.6 && queriesPerSecond < 2.6,
        queriesPerSecond + " queries a second from each gateway, expected 1.6 to 2.6");
    assertTrue(
        mostInOneStep <= GATEWAYS / 2,
        mostInOneStep + " of " + GATEWAYS + " gateways sent a query in the same step");
  }

  /**
   * Guards the drain rule against lost answers: the update in a lost answer must be known within
   * one grace after that answer was sent, even if up to three answers in a row are lost.
   */
  @Test
  void queryWithLostAnswerIsRepeatedWithinGrace() {
    Random lossRandom = new Random(5);
    RecordingDriver driver = new RecordingDriver();
    for (DiscoveryClient client : fleet(driver)) {
      long firstSentAt = -1;
      int consecutiveLosses = 0;
      for (long now = 0; now < 20 * SECOND; now += STEP) {
        int queriesBefore = driver.queryIds.size();
        client.pollIfDue(now);
        if (driver.queryIds.size() == queriesBefore) {
          continue;
        }
        boolean arrives = consecutiveLosses == 3 || lossRandom.nextInt(3) > 0;
        consecutiveLosses = arrives ? 0 : consecutiveLosses + 1;
        answer(client, now, driver, arrives);
        firstSentAt = firstSentAt < 0 ? now : firstSentAt;
        if (arrives) {
          assertTrue(
              now - firstSentAt < GRACE,
              "answered " + (now - firstSentAt) + " tenths of a millisecond after the first query");
          firstSentAt = -1;
        }
      }
    }
  }

  /**
   * Guards a discovery service that is down against too many queries: each gateway queries less and
   * less often, until it sends one query in each grace.
   */
  @Test
  void queriesBackOffWhileServiceIsDown() {
    RecordingDriver driver = new RecordingDriver();
    List<DiscoveryClient> fleet = fleet(driver);
    for (long now = 0; now < 20 * SECOND; now += STEP) {
      for (DiscoveryClient client : fleet) {
        client.pollIfDue(now);
      }
    }
    double queriesPerSecond = driver.queryIds.size() / 20.0 / GATEWAYS;
    assertTrue(
        queriesPerSecond < 2.6,
        queriesPerSecond + " queries a second from each gateway, expected less than 2.6");
  }

  /**
   * Guards the event-loop iteration against unusable answers. A truncated answer must be rejected
   * as an illegal argument, which the caller logs, and must leave its query unanswered, so that the
   * query is repeated.
   */
  @Test
  void unusableAnswersLeaveQueriesUnanswered() {
    RecordingDriver driver = new RecordingDriver();
    DiscoveryClient client = new DiscoveryClient(driver, 7, 0, GRACE, Telemetry.silent());
    for (long now = 0; now < 5 * SECOND; now += STEP) {
      client.pollIfDue(now);
      if (driver.unansweredId >= 0) {
        byte[] truncated =
            Arrays.copyOf(
                DiscoveryAnswers.of(driver.unansweredId, 1, "e1 ready 127.0.0.1:5050 east std 0 0"),
                60);
        long receivedAt = now;
        assertThrows(
            IllegalArgumentException.class, () -> client.onAnswer(receivedAt, truncated, 1));
        driver.unansweredId = -1;
      }
    }
    assertTrue(
        driver.queryIds.size() > 8, driver.queryIds.size() + " queries, expected more than 8");
  }

  private static List<DiscoveryClient> fleet(RecordingDriver driver) {
    Random seeds = new Random(1);
    List<DiscoveryClient> fleet = new ArrayList<>();
    for (int i = 0; i < GATEWAYS; i++) {
      fleet.add(new DiscoveryClient(driver, seeds.nextLong(), 0, GRACE, Telemetry.silent()));
    }
    return fleet;
  }

  /** Answers the client's outstanding query, if there is one, unless the answer is lost. */
  private static void answer(
      DiscoveryClient client, long now, RecordingDriver driver, boolean arrives) {
    if (driver.unansweredId >= 0 && arrives) {
      client.onAnswer(
          now,
          DiscoveryAnswers.of(driver.unansweredId, 1, "e1 ready 127.0.0.1:5050 east std 0 0"),
          1);
    }
    driver.unansweredId = -1;
  }

  /** A driver that records the ids of the queries that it is asked to send. */
  private static final class RecordingDriver implements NetworkDriver {
    private final List<Integer> queryIds = new ArrayList<>();
    private int unansweredId = -1;

    @Override
    public Channel connect(InetSocketAddress address, Channel.Owner owner) {
      throw new AssertionError("unexpected connection");
    }

    @Override
    public void sendDiscoveryQuery(byte[] datagram) {
      unansweredId = DiscoveryAnswers.queryId(datagram);
      queryIds.add(unansweredId);
    }

    @Override
    public void flush() {
      throw new AssertionError("unexpected flush");
    }
  }
}
