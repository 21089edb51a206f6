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

/** Tests of the event loop, the JVM warm-up and the archive of classes. */
class EventLoopTest {
  private static final long START = 17_000_000_000_000L;
  private static final long PAUSE_TENTHS = 30_000;

  private final List<String> recorded = new ArrayList<>();
  private long now = START;
  private int clockReads;
  private EventLoop eventLoop;

  /**
   * Guards against mistaking a pause of this machine for a silent engine: input that arrived during
   * the pause must be processed before any task that became due.
   */
  @Test
  void inputReceivedDuringAPauseIsProcessedBeforeDueTasks() throws InterruptedException {
    InetSocketAddress unusedAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    GatewayConfig config =
        new GatewayConfig("n0", unusedAddress, unusedAddress, 7, 1024, Map.of(), List.of());
    eventLoop = new EventLoop(this::clock);
    Gateway gateway =
        new Gateway(
            config,
            (now, seed, settings, actions) -> recordingPolicy(actions),
            new NoNetwork(),
            START);
    gateway.beginIteration(START);
    gateway.endIteration();
    now += PAUSE_TENTHS;
    eventLoop.run(gateway, () -> recorded.size() > 2);
    assertEquals(
        List.of(
            "onEndpointListStateChanged", "applyDecisions", "input", "onWakeup", "applyDecisions"),
        recorded);
  }

  /**
   * Guards the events after one that fails. Without that protection, a process exited because a
   * class could not be loaded.
   */
  @Test
  void aFailingEventDoesNotStopTheOthers() throws InterruptedException {
    InetSocketAddress unusedAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    GatewayConfig config =
        new GatewayConfig("n0", unusedAddress, unusedAddress, 7, 1024, Map.of(), List.of());
    eventLoop = new EventLoop(() -> now);
    Gateway gateway =
        new Gateway(
            config,
            (now, seed, settings, actions) -> recordingPolicy(actions),
            new NoNetwork(),
            START);
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
    eventLoop.queue.add(() -> recorded.add("next event"));
    eventLoop.run(gateway, () -> recorded.contains("next event"));
  }

  /**
   * Guards a process whose jar is replaced while it runs: each class must be in the archive that
   * the build writes, including classes that are first needed when an error occurs. If this test
   * fails, add the printed names to deploy/classes.lst.
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
   * Guards the first seconds of service: the warm-up must run the whole path of a request often
   * enough for the JVM to compile it.
   */
  @Test
  void warmupRunsRequestsToCompletion() {
    InetSocketAddress unusedAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    Map<String, Object> configuredSettings =
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
            unusedAddress,
            unusedAddress,
            7,
            1024,
            configuredSettings,
            List.of(new EndpointWatchEvent(1, true, List.of(engine))));
    new JvmWarmup(
            config,
            (now, seed, settings, actions) -> {
              DispatchPolicy delegate = new DefaultDispatchPolicy(now, seed, settings, actions);
              return (DispatchPolicy)
                  Proxy.newProxyInstance(
                      getClass().getClassLoader(),
                      new Class<?>[] {DispatchPolicy.class},
                      (proxy, method, values) -> {
                        recorded.add(
                            method.getName().equals("onAttemptEnded")
                                ? values[2].toString()
                                : method.getName());
                        return method.invoke(delegate, values);
                      });
            },
            START)
        .run(() -> {});
    assertTrue(recorded.stream().filter("SUCCEEDED"::equals).count() > 20, recorded::toString);
  }

  /**
   * Returns the current time, as the clock of the event loop. The second reading adds an event, as
   * after a pause in which the event loop continues before the I/O threads read the pending input.
   */
  private long clock() {
    if (++clockReads == 2) {
      eventLoop.queue.add(() -> recorded.add("input"));
    }
    return now;
  }

  /** Returns a policy that records its calls and, on the first one, schedules a wakeup. */
  private DispatchPolicy recordingPolicy(DispatchActions actions) {
    return (DispatchPolicy)
        Proxy.newProxyInstance(
            getClass().getClassLoader(),
            new Class<?>[] {DispatchPolicy.class},
            (proxy, method, values) -> {
              recorded.add(method.getName());
              if (recorded.size() == 1) {
                actions.scheduleWakeup(START + PAUSE_TENTHS / 10);
              }
              return null;
            });
  }

  /** A driver without a network. */
  private static final class NoNetwork implements NetworkDriver {
    @Override
    public Channel connect(InetSocketAddress to, Channel.Owner owner) {
      throw new IllegalStateException("unexpected connection attempt");
    }

    @Override
    public void sendDiscoveryQuery(byte[] datagram) {
      // There is no discovery service; queries remain unanswered.
    }

    @Override
    public void flush() {
      // There is nothing to flush.
    }
  }
}
