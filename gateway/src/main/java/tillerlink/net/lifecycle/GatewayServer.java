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

/**
 * One gateway process: start, event loop, drain, stop. The calling thread becomes the event-loop
 * thread; signals come on threads of their own and only post to its queue.
 */
public final class GatewayServer {
  private static final Logger LOG = LoggerFactory.getLogger(GatewayServer.class);

  /**
   * Reserved beside those that the process has open when it starts: two sockets to the discovery
   * service and one that is being replaced, the listening one, three selectors of three each, the
   * configuration read again, some of the system's.
   */
  private static final int RESERVED_DESCRIPTORS = 24;

  private final WallClock clock = new WallClock();
  private final EventLoop eventLoop = new EventLoop(clock::now);
  private final CountDownLatch ended = new CountDownLatch(1);
  private MinaDriver driver;
  private Gateway gateway;
  private GracefulShutdown shutdown;

  /** Serves until the process is told to end, with the line protocol and no extension. */
  public void serve(Map<String, String> environment, DispatchPolicyFactory policies)
      throws IOException, InterruptedException {
    serve(environment, policies, null, config -> null, null);
  }

  /**
   * Serves until the process is told to end.
   *
   * @param transports how engines are reached, by their kinds; null: over engine lines
   * @param endpointCaches creates what is cached across restarts, by the configuration; may return
   *     null
   * @param extensions creates the gateway's extension; null: it has none
   */
  public void serve(
      Map<String, String> environment,
      DispatchPolicyFactory policies,
      EngineTransport.Factory transports,
      Function<GatewayConfig, EndpointCache> endpointCaches,
      GatewayExtension.Factory extensions)
      throws IOException, InterruptedException {
    Path path = configPath(environment);
    // From the first moment on, for a JVM that nobody told otherwise ends on this signal.
    boolean signalled = onHangUp(() -> reload(path));
    // Before it is read: a file that is replaced from then on is read again.
    ConfigFileWatcher watcher = new ConfigFileWatcher(path, () -> reload(path));
    GatewayConfig config = readConfig(path);
    createGateway(config, policies, transports, endpointCaches.apply(config));
    warmUp(config, policies);
    GatewayExtension extension =
        extensions == null
            ? null
            : extensions.start(
                config, gateway.extensionContext(), eventLoop.queue::add, clock::now);
    gateway.setExtension(extension);
    if (!signalled) {
      LOG.warn(
          "SIGHUP is ignored as inherited from the parent process; polling {} for changes instead",
          path);
      watcher.start();
    }
    run(config, extension);
  }

  private static Path configPath(Map<String, String> environment) throws IOException {
    String file = environment.get("EDGE_CONFIG");
    if (file == null) {
      throw new IOException("EDGE_CONFIG names no file");
    }
    return Path.of(file);
  }

  /** The configuration, with the descriptors left that the process needs for itself. */
  private static GatewayConfig readConfig(Path path) throws IOException {
    GatewayConfig whole = GatewayConfig.read(path);
    int reserved = descriptorsInUse() + RESERVED_DESCRIPTORS;
    GatewayConfig config = whole.withoutDescriptors(reserved);
    LOG.info(
        "{} starting with {} engines in the configuration, {} descriptors, {} of them reserved",
        config.name(),
        config.known().stream().mapToInt(list -> list.entries().size()).sum(),
        whole.sockets(),
        reserved);
    return config;
  }

  private void createGateway(
      GatewayConfig config,
      DispatchPolicyFactory policies,
      EngineTransport.Factory transports,
      EndpointCache endpointCache) {
    driver =
        new MinaDriver(
            eventLoop.queue,
            config.resolver(),
            bytes -> gateway.onDiscoveryDatagram(bytes),
            (Channel channel) -> gateway.onClientConnected(channel),
            config.maxClients(),
            clock::now);
    gateway = new Gateway(config, policies, driver, clock.now(), transports, endpointCache);
  }

  /**
   * The discovery service is polled meanwhile, so that the endpoint list is confirmed by the time
   * that clients come.
   */
  private void warmUp(GatewayConfig config, DispatchPolicyFactory policies) {
    try {
      new JvmWarmup(config, policies, clock.now()).play(() -> eventLoop.runIfDue(gateway));
    } catch (RuntimeException e) {
      LOG.warn("JVM warm-up failed; starting without it", e);
    }
  }

  private void run(GatewayConfig config, GatewayExtension extension)
      throws IOException, InterruptedException {
    shutdown = new GracefulShutdown(gateway);
    try {
      // Before anybody can connect, for whoever does is owed an answer.
      Runtime.getRuntime().addShutdownHook(new Thread(this::drain, "drain"));
      driver.listen(config.listen());
      LOG.info("{} listens on {}", config.name(), config.listen());
      eventLoop.run(gateway, () -> shutdown.isComplete(clock.now()));
      LOG.info("drained; {} requests unanswered", gateway.pendingRequests());
    } finally {
      if (extension != null) {
        extension.close();
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
      eventLoop.queue.add(
          () -> {
            driver.setDiscoveryAddress(resolver);
            gateway.discoveryAddressChanged();
          });
      LOG.info("configuration reloaded; discovery service at {}", resolver);
    } catch (IOException e) {
      LOG.warn("configuration rejected; keeping the previous one: {}", e.toString());
    }
  }

  /** SIGTERM came: waits until the last answer is out. */
  private void drain() {
    LOG.info("draining");
    eventLoop.queue.add(() -> shutdown.begin(clock.now()));
    try {
      ended.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
