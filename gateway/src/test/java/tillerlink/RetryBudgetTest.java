package tillerlink;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.EndpointUpdate;
import tillerlink.model.Engine;
import tillerlink.model.Engine.Status;
import tillerlink.model.Request;
import tillerlink.policy.DefaultDispatchPolicy;
import tillerlink.port.DispatchActions;
import tillerlink.port.SendVerdict;

/**
 * Tests that the retry budget counts a retry from the time at which it is written. That is later
 * than the time at which it is placed if connecting takes time.
 */
class RetryBudgetTest {
  private static final long START = 17_000_000_000_000L;
  private static final long SECOND = 10_000;
  private static final long CONNECT_TIME = SECOND / 2;
  private static final int FLOOR = 3;

  private final List<Attempt> sent = new ArrayList<>();
  private final Engine engine = new Engine("e1");

  /**
   * Places three retries, which use up the budget of 10 s, and writes them half a second later. A
   * fourth one, placed 10.25 s after the first three, must be denied, because only 9.75 s have
   * passed since they were written.
   */
  @Test
  void retryWrittenLateCountsFromItsWrite() {
    DefaultDispatchPolicy policy =
        new DefaultDispatchPolicy(
            START,
            7,
            settings(),
            (DispatchActions)
                Proxy.newProxyInstance(
                    DispatchActions.class.getClassLoader(),
                    new Class<?>[] {DispatchActions.class},
                    (proxy, method, values) -> {
                      if (method.getName().equals("sendAttempt")) {
                        sent.add((Attempt) values[0]);
                      }
                      return null;
                    }));
    policy.onEndpointsChanged(
        START, true, List.of(new EndpointUpdate(engine, 0, 0, 0, 1, Status.READY, 0)));
    for (int i = 0; i < FLOOR; i++) {
      Attempt retry = placeRetry(policy, START);
      assertEquals(SendVerdict.ALLOWED, policy.checkWrite(START + CONNECT_TIME, retry));
      policy.writeDeadline(START + CONNECT_TIME, retry);
    }
    long later = START + 10 * SECOND + CONNECT_TIME / 2;
    Attempt fourth = placeRetry(policy, later);
    assertEquals(SendVerdict.RETRY_BUDGET, policy.checkWrite(later, fourth));
    assertEquals(SendVerdict.ALLOWED, policy.checkWrite(later + SECOND, fourth));
  }

  /** Sends a request whose first attempt loses its response, and returns its retry. */
  private Attempt placeRetry(DefaultDispatchPolicy policy, long now) {
    policy.onRequestArrived(
        now, new Request("a", 0, 0, false, now, now + 30 * SECOND, 100, 0, null));
    policy.applyDecisions(now);
    Attempt first = sent.get(sent.size() - 1);
    policy.onAttemptEnded(now, first, AttemptOutcome.RESPONSE_LOST, 0, false, 0, 0, null);
    policy.applyDecisions(now);
    return sent.get(sent.size() - 1);
  }

  private static Map<String, Object> settings() {
    Map<String, Object> settings = new HashMap<>();
    settings.put("tick", 50L);
    settings.put("caps.max_attempts", 3L);
    settings.put("guarantees.budget_span", 10 * SECOND);
    settings.put("guarantees.extra_floor", (double) FLOOR);
    settings.put("guarantees.further_ratio", 0.0);
    settings.put("family_info.kind_cores", List.of(64L));
    settings.put("profiles", 1L);
    settings.put("profiles.0.semantics", "repeatable");
    settings.put("profiles.0.aim", 20 * SECOND);
    settings.put("profiles.0.hard_limit", 30 * SECOND);
    return settings;
  }
}
