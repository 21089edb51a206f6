package tillerlink.net.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import tillerlink.model.Engine.Status;
import tillerlink.net.state.Channel;
import tillerlink.net.state.Gateway;
import tillerlink.net.state.NetworkDriver;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.net.wire.EndpointWatchEvent;
import tillerlink.net.wire.GatewayConfig;
import tillerlink.policy.DefaultDispatchPolicy;
import tillerlink.port.DispatchActions;
import tillerlink.port.DispatchPolicy;

class EventLoopTest {
  private static final long START = 17_000_000_000_000L;
  private static final long PAUSE = 30_000;

  private final List<String> happened = new ArrayList<>();
  private long now = START;
  private int reads;
  private EventLoop eventLoop;

  /** Guards against taking a pause of this machine for a silent engine. */
  @Test
  void inputOfAPauseIsProcessedBeforeWhatIsDue() throws InterruptedException {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    GatewayConfig config = new GatewayConfig("n0", any, any, 7, 1024, Map.of(), List.of());
    eventLoop = new EventLoop(this::clock);
    Gateway gateway =
        new Gateway(config, (now, seed, settings, actions) -> policy(actions), new Mute(), START);
    gateway.beginIteration(START);
    gateway.endIteration();
    now += PAUSE;
    eventLoop.run(gateway, () -> happened.size() > 2);
    assertEquals(
        List.of(
            "onEndpointListStateChanged", "applyDecisions", "heard", "onWakeup", "applyDecisions"),
        happened);
  }

  /**
   * Guards what is beside an event that fails: seen as a process that ended on a class which could
   * not be loaded.
   */
  @Test
  void aFailingEventDoesNotStopTheOthers() throws InterruptedException {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    GatewayConfig config = new GatewayConfig("n0", any, any, 7, 1024, Map.of(), List.of());
    eventLoop = new EventLoop(() -> now);
    Gateway gateway =
        new Gateway(config, (now, seed, settings, actions) -> policy(actions), new Mute(), START);
    eventLoop.queue.add(
        () -> {
          throw new NoClassDefFoundError("Late");
        });
    eventLoop.queue.add(
        () -> {
          throw new StackOverflowError();
        });
    eventLoop.queue.add(
        () -> {
          throw new IllegalStateException();
        });
    eventLoop.queue.add(() -> happened.add("the next"));
    eventLoop.run(gateway, () -> happened.contains("the next"));
  }

  /**
   * Guards a process whose jar is replaced under it: each of its classes comes from the archive
   * that the build writes, also those first needed in trouble. When this fails, add the name that
   * it prints to deploy/classes.lst.
   */
  @Test
  void everyClassIsInTheArchive() throws IOException, URISyntaxException {
    Set<String> archived =
        Set.copyOf(
            Files.readAllLines(Path.of("..", "deploy", "classes.lst")).stream()
                .map(line -> line.split(" ", -1)[0])
                .collect(Collectors.toSet()));
    Path classes =
        Path.of(EventLoop.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    try (Stream<Path> files = Files.walk(classes.resolve("tillerlink"))) {
      List<String> missing =
          files
              .map(file -> classes.relativize(file).toString().replace('\\', '/'))
              .filter(name -> name.endsWith(".class") && !name.contains("wirehost"))
              .map(name -> name.substring(0, name.length() - ".class".length()))
              .filter(name -> !archived.contains(name))
              .toList();
      assertEquals(List.of(), missing);
    }
  }

  /**
   * Guards the first seconds: all that a request passes through has been played often enough to be
   * compiled.
   */
  @Test
  void theWarmupPlaysRequestsToTheirEnd() {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    Map<String, Object> terms =
        Map.of(
            "profiles",
            List.of(
                Map.of(
                    "name",
                    "look",
                    "semantics",
                    "repeatable",
                    "aim_us",
                    1_000_000L,
                    "hard_limit_us",
                    4_000_000L)),
            "caps",
            Map.of("max_attempts", 2L));
    EndpointEntry engine =
        new EndpointEntry("e1", "127.0.0.1", 2, "east", "std", 0, Status.READY, 1, 0);
    GatewayConfig config =
        new GatewayConfig(
            "n0",
            any,
            any,
            7,
            1024,
            terms,
            List.of(new EndpointWatchEvent(1, true, List.of(engine))));
    new JvmWarmup(
            config,
            (now, seed, settings, actions) -> {
              DispatchPolicy module = new DefaultDispatchPolicy(now, seed, settings, actions);
              return (DispatchPolicy)
                  Proxy.newProxyInstance(
                      getClass().getClassLoader(),
                      new Class<?>[] {DispatchPolicy.class},
                      (proxy, method, values) -> {
                        happened.add(
                            method.getName().equals("onAttemptEnded")
                                ? values[2].toString()
                                : method.getName());
                        return method.invoke(module, values);
                      });
            },
            START)
        .play(() -> {});
    assertTrue(happened.stream().filter("SUCCEEDED"::equals).count() > 20, happened::toString);
  }

  /**
   * The machine goes on where it stood; only after a moment its other threads read what had come.
   */
  private long clock() {
    if (++reads == 2) {
      eventLoop.queue.add(() -> happened.add("heard"));
    }
    return now;
  }

  private DispatchPolicy policy(DispatchActions actions) {
    return (DispatchPolicy)
        Proxy.newProxyInstance(
            getClass().getClassLoader(),
            new Class<?>[] {DispatchPolicy.class},
            (proxy, method, values) -> {
              happened.add(method.getName());
              if (happened.size() == 1) {
                actions.scheduleWakeup(START + PAUSE / 10);
              }
              return null;
            });
  }

  private static final class Mute implements NetworkDriver {
    @Override
    public Channel connect(InetSocketAddress to, Channel.Owner owner) {
      throw new IllegalStateException("nothing is to be dialed");
    }

    @Override
    public void sendDiscoveryQuery(byte[] datagram) {
      // Nobody answers.
    }

    @Override
    public void flush() {
      // Nothing is written.
    }
  }
}
