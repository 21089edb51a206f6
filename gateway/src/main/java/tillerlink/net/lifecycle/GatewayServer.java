package tillerlink.net.lifecycle;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.net.io.MinaDriver;
import tillerlink.net.state.Channel;
import tillerlink.net.state.EndpointCache;
import tillerlink.net.state.EngineTransport;
import tillerlink.net.state.Gateway;
import tillerlink.net.state.GatewayExtension;
import tillerlink.net.wire.GatewayConfig;
import tillerlink.port.DispatchPolicyFactory;

/** One gateway process: start, turns, drain, stop. */
public final class GatewayServer {
  private static final Logger LOG = LoggerFactory.getLogger(GatewayServer.class);

  /**
   * Kept in reserve beside those that the process has open when it starts: two ways to the name
   * service and one that is being replaced, the door, three selectors of three each, the
   * configuration read again, some of the system's.
   */
  private static final int DESCRIPTORS_KEPT = 24;

  private final WallClock clock = new WallClock();
  private final EventLoop turns = new EventLoop(clock::now);
  private final CountDownLatch ended = new CountDownLatch(1);
  private MinaDriver driver;
  private Gateway gateway;
  private GracefulShutdown shutdown;

  /** Serves until it is told to end. */
  public void serve(Map<String, String> environment, DispatchPolicyFactory modules)
      throws IOException, InterruptedException {
    serve(environment, modules, null, assignment -> null, null);
  }

  /**
   * @param transports how engines are reached, by their kinds; null: over engine lines
   * @param endpointCaches what is remembered across restarts, for what it is told to be; it may
   *     give null
   * @param beside makes what stands beside the module, or null
   */
  public void serve(
      Map<String, String> environment,
      DispatchPolicyFactory modules,
      EngineTransport.Factory transports,
      Function<GatewayConfig, EndpointCache> endpointCaches,
      GatewayExtension.Factory beside)
      throws IOException, InterruptedException {
    String file = environment.get("EDGE_CONFIG");
    if (file == null) {
      throw new IOException("EDGE_CONFIG names no file");
    }
    Path path = Path.of(file);
    // From the first moment on, for a JVM that nobody told otherwise ends on this signal.
    boolean heard = onHangUp(() -> reload(path));
    // Before it is read: a file that is replaced from then on is read again.
    ConfigFileWatcher watch = new ConfigFileWatcher(path, () -> reload(path));
    GatewayConfig told = GatewayConfig.read(path);
    int inUse = descriptorsInUse() + DESCRIPTORS_KEPT;
    GatewayConfig assignment = told.without(inUse);
    LOG.info(
        "{} starts with {} engines known, {} descriptors, {} of them kept",
        assignment.name(),
        assignment.known().stream().mapToInt(news -> news.entries().size()).sum(),
        told.sockets(),
        inUse);
    driver =
        new MinaDriver(
            turns.queue,
            assignment.resolver(),
            bytes -> gateway.onDiscoveryDatagram(bytes),
            (Channel channel) -> gateway.onClientConnected(channel),
            assignment.maxClients(),
            clock::now);
    gateway =
        new Gateway(
            assignment, modules, driver, clock.now(), transports, endpointCaches.apply(assignment));
    // The discovery service is asked meanwhile, so that the list is confirmed by the time that
    // clients
    // come.
    try {
      new JvmWarmup(assignment, modules, clock.now()).play(() -> turns.takeDue(gateway));
    } catch (RuntimeException e) {
      LOG.warn("the rehearsal broke off; the gateway starts without", e);
    }
    GatewayExtension side =
        beside == null
            ? null
            : beside.start(assignment, gateway.extensionContext(), turns.queue::add, clock::now);
    gateway.setExtension(side);
    if (!heard) {
      LOG.warn(
          "SIGHUP was ignored by what started this process, so {} is watched for changes instead",
          path);
      watch.start();
    }
    shutdown = new GracefulShutdown(gateway);
    try {
      // Before anybody can connect, for whoever does is owed an answer.
      Runtime.getRuntime().addShutdownHook(new Thread(this::drain, "drain"));
      driver.listen(assignment.listen());
      LOG.info("{} listens on {}", assignment.name(), assignment.listen());
      turns.run(gateway, () -> shutdown.done(clock.now()));
      LOG.info("drained, {} requests without an answer", gateway.pendingRequests());
    } finally {
      if (side != null) {
        side.close();
      }
      ended.countDown();
    }
  }

  /**
   * What files, channels and sockets of its own the process has open; none is counted if the system
   * does not tell.
   */
  private static int descriptorsInUse() {
    String[] open = new File("/proc/self/fd").list();
    return open == null ? 0 : open.length;
  }

  /**
   * The JDK has no other way to hear of a signal; without this the process ends on it. False where
   * the signal was ignored when this process started, as under nohup: then the JVM goes on ignoring
   * it and calls nobody.
   */
  private static boolean onHangUp(Runnable reload) {
    sun.misc.SignalHandler before =
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> reload.run());
    return before != sun.misc.SignalHandler.SIG_IGN;
  }

  /**
   * SIGHUP came, or the file changed where that can't be heard: the discovery service is asked
   * where the configuration says now; all else goes on. Runs on a thread of the signal's own, one
   * after the other: of two that come at once, the later reading holds.
   */
  private synchronized void reload(Path path) {
    try {
      InetSocketAddress resolver = GatewayConfig.read(path).resolver();
      turns.queue.add(
          () -> {
            driver.askAt(resolver);
            gateway.discoveryAddressChanged();
          });
      LOG.info("configuration read again, the name service is asked at {}", resolver);
    } catch (IOException e) {
      LOG.warn("configuration not taken, all stays as it was: {}", e.toString());
    }
  }

  /** SIGTERM came: waits until the last answer is out. */
  private void drain() {
    LOG.info("draining");
    turns.queue.add(() -> shutdown.begin(clock.now()));
    try {
      ended.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
