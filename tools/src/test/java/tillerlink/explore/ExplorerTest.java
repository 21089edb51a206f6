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
 * All small histories keep the rules; each planted fault is found, with a history that people can
 * read.
 */
class ExplorerTest {
  @BeforeAll
  static void hush() {
    ((ch.qos.logback.classic.Logger) LoggerFactory.getLogger("tillerlink.net.state"))
        .setLevel(ch.qos.logback.classic.Level.ERROR);
  }

  private static Explorer.Found explore(
      int failures, boolean http2, DispatchPolicyFactory modules) {
    return new Explorer(new Player(2, 3, http2, modules), failures, 2)
        .explore((histories, distinct, depth) -> {});
  }

  @Test
  void allHistoriesWithTwoFailures() {
    for (boolean http2 : new boolean[] {false, true}) {
      Explorer.Found found = explore(2, http2, DefaultDispatchPolicy::new);
      assertNull(
          found.wrong(), () -> String.join("\n", found.wrong().told()) + found.wrong().wrong());
      assertTrue(found.closed());
      assertTrue(found.histories() > 2000, found.histories() + " histories");
    }
  }

  @Test
  void theSameDeviationsTellTheSameStory() {
    Player player = new Player(2, 3, false, DefaultDispatchPolicy::new);
    List<int[]> deviations = List.of(new int[] {3, 1}, new int[] {9, 2});
    assertEquals(player.play(deviations).told(), player.play(deviations).told());
  }

  /** The module is told of every cut attempt that it never ran. */
  @Test
  void aWrongMappingIsFound() {
    Explorer.Found found =
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
        found.wrong().wrong().get(0).startsWith("EFFECT: "), found.wrong().wrong().toString());
    assertEquals(1, found.deviations());
  }

  /** What the module gives up is never told to the client. */
  @Test
  void aLostAnswerIsFound() {
    Explorer.Found found =
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
        found.wrong().wrong().get(0).startsWith("ANSWER: "), found.wrong().wrong().toString());
  }
}
