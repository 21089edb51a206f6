package tillerlink.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.Request;
import tillerlink.policy.DefaultDispatchPolicy;
import tillerlink.port.DispatchActions;
import tillerlink.port.DispatchPolicy;
import tillerlink.port.DispatchPolicyFactory;

/**
 * All small histories keep the rules. Each injected fault of the policy or its adapter is detected,
 * with a history that shows it.
 */
class ExplorerTest {
  @BeforeAll
  static void muteGateways() {
    ((ch.qos.logback.classic.Logger) LoggerFactory.getLogger("tillerlink.net.state"))
        .setLevel(ch.qos.logback.classic.Level.ERROR);
  }

  private static Explorer.Result explore(
      int failures, boolean http2, DispatchPolicyFactory policies) {
    return new Explorer(new HistoryPlayer(2, 3, http2, policies), failures, 2)
        .explore((histories, distinct, depth) -> {});
  }

  @Test
  void allHistoriesWithTwoFailuresKeepTheRules() {
    for (boolean http2 : new boolean[] {false, true}) {
      Explorer.Result result = explore(2, http2, DefaultDispatchPolicy::new);
      assertNull(
          result.violation(),
          () -> String.join("\n", result.violation().events()) + result.violation().violations());
      assertTrue(result.complete());
      assertTrue(result.histories() > 2000, result.histories() + " histories");
    }
  }

  @Test
  void sameDeviationsGiveTheSameHistory() {
    HistoryPlayer player = new HistoryPlayer(2, 3, false, DefaultDispatchPolicy::new);
    List<int[]> deviations = List.of(new int[] {3, 1}, new int[] {9, 2});
    assertEquals(player.play(deviations).events(), player.play(deviations).events());
  }

  /**
   * A policy that is informed of lost connections as if the attempt had never been sent repeats
   * requests that ran. This violates the rule EFFECT.
   */
  @Test
  void wrongOutcomeMappingIsFound() {
    Explorer.Result result =
        explore(
            1,
            false,
            (now, seed, settings, actions) -> {
              DispatchPolicy real = new DefaultDispatchPolicy(now, seed, settings, actions);
              return (DispatchPolicy)
                  Proxy.newProxyInstance(
                      DispatchPolicy.class.getClassLoader(),
                      new Class<?>[] {DispatchPolicy.class},
                      (proxy, method, args) -> {
                        for (int i = 0; args != null && i < args.length; i++) {
                          args[i] =
                              args[i] == AttemptOutcome.CONNECTION_LOST
                                  ? AttemptOutcome.NOT_SENT
                                  : args[i];
                        }
                        return method.invoke(real, args);
                      });
            });
    assertTrue(
        result.violation().violations().get(0).startsWith("EFFECT: "),
        result.violation().violations().toString());
    assertEquals(1, result.deviations());
  }

  /**
   * Requests that the policy fails get no response, because the action is dropped. This violates
   * the rule ANSWER.
   */
  @Test
  void missingResponseIsFound() {
    Explorer.Result result =
        explore(
            1,
            false,
            (now, seed, settings, actions) ->
                new DefaultDispatchPolicy(
                    now,
                    seed,
                    settings,
                    (DispatchActions)
                        Proxy.newProxyInstance(
                            DispatchActions.class.getClassLoader(),
                            new Class<?>[] {DispatchActions.class},
                            (proxy, method, args) ->
                                method.getName().equals("failRequest") && args[0] instanceof Request
                                    ? null
                                    : method.invoke(actions, args))));
    assertTrue(
        result.violation().violations().get(0).startsWith("ANSWER: "),
        result.violation().violations().toString());
  }
}
