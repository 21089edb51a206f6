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

/** Questions of a whole fleet that was started at one moment. Times are tenths of a millisecond. */
class DiscoveryClientTest {
  private static final int GATEWAYS = 100;
  private static final long STEP = 1250;
  private static final long GRACE = 5000;
  private static final long SECOND = 10_000;

  /** Guards the service: no more than the drain rule needs, and never all at once. */
  @Test
  void aFleetSendsOneQueryPerGraceAndNotInStep() {
    Asked asked = new Asked();
    List<DiscoveryClient> fleet = fleet(asked);
    int most = 0;
    for (long now = 0; now < 20 * SECOND; now += STEP) {
      int before = asked.ids.size();
      for (DiscoveryClient one : fleet) {
        one.pollIfDue(now);
        answer(one, now, asked, true);
      }
      most = Math.max(most, asked.ids.size() - before);
    }
    double each = asked.ids.size() / 20.0 / GATEWAYS;
    assertTrue(each > 1.6 && each < 2.6, each + " questions a second of each");
    assertTrue(most <= GATEWAYS / 2, most + " of " + GATEWAYS + " at once");
  }

  /**
   * Guards the drain where answers get lost: what one told is known within the grace after it was
   * sent.
   */
  @Test
  void aLostAnswerIsQueriedAgainWithinTheGrace() {
    Random lost = new Random(5);
    Asked asked = new Asked();
    for (DiscoveryClient one : fleet(asked)) {
      long sentAt = -1;
      int losses = 0;
      for (long now = 0; now < 20 * SECOND; now += STEP) {
        int before = asked.ids.size();
        one.pollIfDue(now);
        if (asked.ids.size() == before) {
          continue;
        }
        boolean arrives = losses == 3 || lost.nextInt(3) > 0;
        losses = arrives ? 0 : losses + 1;
        answer(one, now, asked, arrives);
        sentAt = sentAt < 0 ? now : sentAt;
        if (arrives) {
          assertTrue(now - sentAt < GRACE, "known " + (now - sentAt) + " after it was sent");
          sentAt = -1;
        }
      }
    }
  }

  /** Guards a service that is down: each gateway asks ever less often, down to once in a grace. */
  @Test
  void queriesBackOffWhileTheServiceIsDown() {
    Asked asked = new Asked();
    List<DiscoveryClient> fleet = fleet(asked);
    for (long now = 0; now < 20 * SECOND; now += STEP) {
      for (DiscoveryClient one : fleet) {
        one.pollIfDue(now);
      }
    }
    double each = asked.ids.size() / 20.0 / GATEWAYS;
    assertTrue(each < 2.6, each + " questions a second of each");
  }

  /**
   * Guards the turn: answers that are of no use, as cut ones, are no answers, and no fault of the
   * gateway either.
   */
  @Test
  void unusableAnswersCountAsUnanswered() {
    Asked asked = new Asked();
    DiscoveryClient one = new DiscoveryClient(asked, 7, 0, GRACE, Telemetry.silent());
    for (long now = 0; now < 5 * SECOND; now += STEP) {
      one.pollIfDue(now);
      if (asked.unanswered >= 0) {
        byte[] cut =
            Arrays.copyOf(
                DiscoveryAnswers.of(asked.unanswered, 1, "e1 ready 127.0.0.1:5050 east std 0 0"),
                60);
        long at = now;
        assertThrows(IllegalArgumentException.class, () -> one.onAnswer(at, cut, 1));
        asked.unanswered = -1;
      }
    }
    assertTrue(asked.ids.size() > 8, asked.ids.size() + " questions");
  }

  private static List<DiscoveryClient> fleet(Asked asked) {
    Random seeds = new Random(1);
    List<DiscoveryClient> fleet = new ArrayList<>();
    for (int i = 0; i < GATEWAYS; i++) {
      fleet.add(new DiscoveryClient(asked, seeds.nextLong(), 0, GRACE, Telemetry.silent()));
    }
    return fleet;
  }

  private static void answer(DiscoveryClient one, long now, Asked asked, boolean arrives) {
    if (asked.unanswered >= 0 && arrives) {
      one.onAnswer(
          now, DiscoveryAnswers.of(asked.unanswered, 1, "e1 ready 127.0.0.1:5050 east std 0 0"), 1);
    }
    asked.unanswered = -1;
  }

  /** Notes what is asked. */
  private static final class Asked implements NetworkDriver {
    private final List<Integer> ids = new ArrayList<>();
    private int unanswered = -1;

    @Override
    public Channel connect(InetSocketAddress to, Channel.Owner owner) {
      throw new AssertionError("nothing is dialed");
    }

    @Override
    public void sendDiscoveryQuery(byte[] datagram) {
      unanswered = DiscoveryAnswers.queryId(datagram);
      ids.add(unanswered);
    }

    @Override
    public void flush() {
      throw new AssertionError("nothing is written");
    }
  }
}
