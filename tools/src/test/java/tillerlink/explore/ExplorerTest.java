package tillerlink.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import tillerlink.Policy;
import tillerlink.model.Outcome;
import tillerlink.model.Submission;
import tillerlink.port.Orders;
import tillerlink.port.Steering;
import tillerlink.port.SteeringFactory;

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

  private static Explorer.Found explore(int failures, boolean http2, SteeringFactory modules) {
    return new Explorer(new Player(2, 3, http2, modules), failures, 2)
        .explore((histories, distinct, depth) -> {});
  }

  @Test
  void allHistoriesWithTwoFailures() {
    for (boolean http2 : new boolean[] {false, true}) {
      Explorer.Found found = explore(2, http2, Policy::new);
      assertNull(
          found.wrong(), () -> String.join("\n", found.wrong().told()) + found.wrong().wrong());
      assertTrue(found.closed());
      assertTrue(found.histories() > 2000, found.histories() + " histories");
    }
  }

  @Test
  void theSameDeviationsTellTheSameStory() {
    Player player = new Player(2, 3, false, Policy::new);
    List<int[]> deviations = List.of(new int[] {3, 1}, new int[] {9, 2});
    assertEquals(player.play(deviations).told(), player.play(deviations).told());
  }

  /** The module is told of every cut hop that it never ran. */
  @Test
  void aWrongMappingIsFound() {
    Explorer.Found found =
        explore(
            1,
            false,
            (now, seed, settings, orders) -> {
              Steering real = new Policy(now, seed, settings, orders);
              return (Steering)
                  Proxy.newProxyInstance(
                      Steering.class.getClassLoader(),
                      new Class<?>[] {Steering.class},
                      (proxy, method, args) -> {
                        for (int i = 0; args != null && i < args.length; i++) {
                          args[i] = args[i] == Outcome.SEVERED ? Outcome.NEVER_SENT : args[i];
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
            (now, seed, settings, orders) ->
                new Policy(
                    now,
                    seed,
                    settings,
                    (Orders)
                        Proxy.newProxyInstance(
                            Orders.class.getClassLoader(),
                            new Class<?>[] {Orders.class},
                            (proxy, method, args) ->
                                method.getName().equals("breakOff") && args[0] instanceof Submission
                                    ? null
                                    : method.invoke(orders, args))));
    assertTrue(
        found.wrong().wrong().get(0).startsWith("ANSWER: "), found.wrong().wrong().toString());
  }
}
