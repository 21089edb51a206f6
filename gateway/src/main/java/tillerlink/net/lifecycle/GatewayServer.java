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
import tillerlink.net.state.RetainedBytes;
import tillerlink.net.wire.GatewayConfig;
import tillerlink.port.DispatchPolicyFactory;
import tillerlink.telemetry.Telemetry;

/**
 * The lifecycle of one gateway process: start, event loop, drain, stop. The thread that calls
 * {@code serve} becomes the event-loop thread; signal handlers run on other threads and only add
 * events to its queue.
 */
public final class GatewayServer {
  private static final Logger LOG = LoggerFactory.getLogger(GatewayServer.class);

  /**
   * The number of file descriptors that the gateway needs besides those that are open at its start
   * and those of connections: two sockets to the discovery service and one that is being replaced,
   * the listening socket, three selectors with three descriptors each, the configuration file while
   * it is read again, and some for the operating system.
   */
  private static final int RESERVED_DESCRIPTORS = 24;

  private final WallClock clock = new WallClock();
  private final EventLoop eventLoop = new EventLoop(clock::now);
  private final CountDownLatch ended = new CountDownLatch(1);
  private MinaDriver driver;
  private Gateway gateway;
  private GracefulShutdown shutdown;

  /**
   * Serves until the process receives SIGTERM, with the line protocol and without an extension.
   *
   * @param environment the environment variables
   * @throws IOException if the configuration cannot be read or the gateway cannot listen
   */
  public void serve(Map<String, String> environment, DispatchPolicyFactory policies)
      throws IOException, InterruptedException {
    serve(environment, policies, null, config -> null, null);
  }

  /**
   * Serves until the process receives SIGTERM.
   *
   * @param environment the environment variables
   * @param transports creates the transports to engines, by engine kind; null to use the line
   *     protocol for all engines
   * @param endpointCaches creates the endpoint cache that persists across restarts, for a
   *     configuration; may return null for no cache
   * @param extensions creates the extension of the gateway; null for no extension
   * @throws IOException if the configuration cannot be read or the gateway cannot listen
   */
  public void serve(
      Map<String, String> environment,
      DispatchPolicyFactory policies,
      EngineTransport.Factory transports,
      Function<GatewayConfig, EndpointCache> endpointCaches,
      GatewayExtension.Factory extensions)
      throws IOException, InterruptedException {
    Path path = configPath(environment);
    // Installed first, because a JVM without a handler terminates on this signal.
    boolean signalled = handleHangUp(() -> reload(path));
    // Created before the file is read, so that a replacement from this point on is detected and the
    // file is read again.
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
    runEventLoop(config, extension);
  }

  private static Path configPath(Map<String, String> environment) throws IOException {
    String file = environment.get("EDGE_CONFIG");
    if (file == null) {
      throw new IOException(
          "environment variable EDGE_CONFIG is not set; it must name the configuration file");
    }
    return Path.of(file);
  }

  /**
   * Reads the configuration and subtracts the file descriptors that the process itself needs from
   * those available for connections.
   */
  private static GatewayConfig readConfig(Path path) throws IOException {
    GatewayConfig fileConfig = GatewayConfig.read(path);
    int reserved = descriptorsInUse() + RESERVED_DESCRIPTORS;
    GatewayConfig config = fileConfig.withoutDescriptors(reserved);
    LOG.info(
        "{} starting with {} engines in the configuration, {} descriptors, {} of them reserved",
        config.name(),
        config.initialEndpointUpdates().stream().mapToInt(list -> list.entries().size()).sum(),
        fileConfig.sockets(),
        reserved);
    return config;
  }

  private void createGateway(
      GatewayConfig config,
      DispatchPolicyFactory policies,
      EngineTransport.Factory transports,
      EndpointCache endpointCache) {
    RetainedBytes retained = new RetainedBytes(Gateway.maxRetainedBytes());
    driver =
        new MinaDriver(
            eventLoop.queue,
            config.resolver(),
            bytes -> gateway.onDiscoveryDatagram(bytes),
            (Channel channel) -> gateway.onClientConnected(channel),
            config.maxClients(),
            retained,
            clock::now);
    gateway =
        new Gateway(
            config,
            policies,
            driver,
            clock.now(),
            retained,
            transports,
            endpointCache,
            Telemetry.logging());
  }

  /**
   * Warms up the JVM. The discovery service is polled at the same time, so that the endpoint list
   * is confirmed by the time the first clients connect.
   */
  private void warmUp(GatewayConfig config, DispatchPolicyFactory policies) {
    try {
      new JvmWarmup(config, policies, clock.now()).run(() -> eventLoop.runIfDue(gateway));
    } catch (RuntimeException e) {
      LOG.warn("JVM warm-up failed; starting without it", e);
    }
  }

  private void runEventLoop(GatewayConfig config, GatewayExtension extension)
      throws IOException, InterruptedException {
    shutdown = new GracefulShutdown(gateway);
    try {
      // Registered before any client can connect, because every client that connects must get a
      // response.
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
   * Returns the number of file descriptors that the process has open; 0 if the operating system
   * does not provide it.
   */
  private static int descriptorsInUse() {
    String[] open = new File("/proc/self/fd").list();
    return open == null ? 0 : open.length;
  }

  /**
   * Installs the handler of SIGHUP, on which the process would otherwise terminate. Uses {@code
   * sun.misc} because the JDK has no other API for signals.
   *
   * @return false if the process was started with the signal ignored, as under nohup; the JVM then
   *     continues to ignore the signal and never runs the handler
   */
  private static boolean handleHangUp(Runnable reload) {
    sun.misc.SignalHandler before =
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> reload.run());
    return before != sun.misc.SignalHandler.SIG_IGN;
  }

  /**
   * Reads the configuration again after SIGHUP, or after a change of the file if the signal is
   * ignored. Only the address of the discovery service is applied; all other settings stay. Runs on
   * a signal or watcher thread and is synchronized, so that of two concurrent reloads the one that
   * read the file later takes effect.
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

  /** Starts the graceful shutdown after SIGTERM and blocks until the last response is written. */
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
