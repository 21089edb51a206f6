package tillerlink.faultinjection.harness;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import tillerlink.fakes.EngineCommandParser.Command;
import tillerlink.faultinjection.client.HttpEndpointClient;
import tillerlink.faultinjection.engine.FakeEngine;
import tillerlink.faultinjection.engine.FakeNameService;
import tillerlink.faultinjection.network.FaultyNetwork;
import tillerlink.faultinjection.network.LinkBehaviour;
import tillerlink.faultinjection.network.TcpProxy;
import tillerlink.faultinjection.process.GatewayProcess;
import tillerlink.faultinjection.process.GatewaySpec;
import tillerlink.faultinjection.process.Ports;

/**
 * A cluster of gateway processes n0, n1, ..., with fake engines e1, e2, ... and the network between
 * gateways, engines and clients.
 */
public final class ProcessCluster implements Closeable {
  private static final long READY_TIMEOUT_MS = 60_000;
  private static final long POLL_INTERVAL_MS = 20;
  private static final long RESPONSE_TIMEOUT_MS = 5_000;
  private static final int MAX_VOTERS = 5;

  /**
   * The size and the components of a cluster.
   *
   * @param gateways the number of gateway processes
   * @param sites the number of sites over which the gateways are spread, round robin
   * @param engines the number of engines that each gateway reaches
   * @param workMs the run time of each statement at an engine, in milliseconds
   * @param shared the components of shared state that are enabled
   */
  public record Topology(
      int gateways, int sites, int engines, long workMs, GatewaySpec.Shared shared) {}

  private final FaultyNetwork network;
  private final List<FakeEngine> engines = new ArrayList<>();
  private final List<FakeNameService> discoveryServices = new ArrayList<>();
  private final Map<String, List<TcpProxy>> engineProxies = new TreeMap<>();
  private final Map<String, TcpProxy> clientProxies = new TreeMap<>();
  private final Map<String, GatewayProcess> gateways = new LinkedHashMap<>();

  /**
   * Sets up a cluster without starting its gateways.
   *
   * @param folder the folder for the files of the gateways
   * @param seed the seed of the network's faults
   * @param classPath the class path of the gateway processes
   * @param onRun called on any thread with the name of an engine and each request that it runs
   */
  public ProcessCluster(
      Path folder,
      long seed,
      Topology topology,
      String classPath,
      BiConsumer<String, Command> onRun)
      throws IOException {
    network = new FaultyNetwork(seed);
    for (int i = 1; i <= topology.engines(); i++) {
      engines.add(new FakeEngine("e" + i, topology.workMs(), onRun));
    }
    List<String> gatewayNames = new ArrayList<>();
    for (int i = 0; i < topology.gateways(); i++) {
      gatewayNames.add("n" + i);
    }
    // A site is named after its first gateway, which is the site's voter for the channel logs.
    List<String> sites = gatewayNames.subList(0, topology.sites());
    // An odd number of voters: one more would need a larger majority but tolerate no more failures.
    int voters = Math.min(MAX_VOTERS, topology.gateways() - 1 + topology.gateways() % 2);
    for (String name : gatewayNames) {
      Map<String, Integer> reach = new TreeMap<>();
      gatewayNames.stream()
          .filter(other -> !other.equals(name))
          .forEach(other -> reach.put(other, network.port(name, other)));
      int members = Ports.free();
      network.register(name, members);
      int discovery = startDiscovery(name);
      List<Integer> ports = engineProxies.get(name).stream().map(TcpProxy::port).toList();
      GatewaySpec spec =
          new GatewaySpec(
              Files.createDirectories(folder.resolve(name)),
              name,
              sites.get(gatewayNames.indexOf(name) % sites.size()),
              Ports.free(),
              members,
              reach,
              sites,
              gatewayNames.subList(0, voters),
              discovery,
              ports,
              topology.shared());
      gateways.put(name, new GatewayProcess(spec, classPath));
      clientProxies.put(name, new TcpProxy(spec.http(), network.counters()));
    }
  }

  private int startDiscovery(String gateway) throws IOException {
    List<TcpProxy> proxies = new ArrayList<>();
    for (FakeEngine engine : engines) {
      proxies.add(new TcpProxy(engine.port(), network.counters()));
    }
    engineProxies.put(gateway, proxies);
    FakeNameService service = new FakeNameService(proxies.stream().map(TcpProxy::port).toList());
    discoveryServices.add(service);
    return service.port();
  }

  /** Returns the network between the gateways. */
  public FaultyNetwork network() {
    return network;
  }

  /** Starts all gateways and waits until they are healthy. */
  public void start() throws IOException {
    for (GatewayProcess gateway : gateways.values()) {
      gateway.start();
    }
    for (String name : gateways.keySet()) {
      awaitHealthy(name);
    }
  }

  /**
   * Waits until a gateway is healthy.
   *
   * @throws IOException if its process ends or it is not healthy within {@value #READY_TIMEOUT_MS}
   *     ms; the message contains its log
   */
  public void awaitHealthy(String name) throws IOException {
    long deadline = System.nanoTime() + READY_TIMEOUT_MS * 1_000_000;
    HttpEndpointClient client = client(name);
    while (!client.healthy()) {
      if (System.nanoTime() > deadline || !gateways.get(name).isAlive()) {
        throw new IOException(
            name
                + " did not become healthy; its log: "
                + Files.readString(gateways.get(name).log()));
      }
      pause(POLL_INTERVAL_MS);
    }
  }

  /** Returns the names of the gateways, in order. */
  public List<String> names() {
    return List.copyOf(gateways.keySet());
  }

  /** Returns a gateway by its name. */
  public GatewayProcess gateway(String name) {
    return gateways.get(name);
  }

  /** Creates a client that reaches a gateway through its client proxy. */
  public HttpEndpointClient client(String name) {
    return new HttpEndpointClient(clientProxies.get(name).port(), RESPONSE_TIMEOUT_MS);
  }

  /** Creates a client that reaches a gateway through its client proxy, with a read timeout. */
  public HttpEndpointClient client(String name, long timeoutMs) {
    return new HttpEndpointClient(clientProxies.get(name).port(), timeoutMs);
  }

  /** Returns the proxy between clients and a gateway. */
  public TcpProxy clientProxy(String name) {
    return clientProxies.get(name);
  }

  /** Returns the proxies between a gateway and the engines, in the order of the engines. */
  public List<TcpProxy> engineProxies(String name) {
    return engineProxies.get(name);
  }

  /** Cuts all links between two groups of gateways. */
  public void partition(List<String> group, List<String> others) {
    for (String one : group) {
      for (String other : others) {
        network.set(one, other, LinkBehaviour.CUT);
        network.set(other, one, LinkBehaviour.CUT);
      }
    }
  }

  /** Removes the faults of all links and proxies. */
  public void heal() {
    network.heal();
    clientProxies.values().forEach(proxy -> proxy.set(LinkBehaviour.NONE));
    engineProxies
        .values()
        .forEach(proxies -> proxies.forEach(proxy -> proxy.set(LinkBehaviour.NONE)));
  }

  /** Returns the violations that the processes report by their logs and exit codes. */
  public List<String> violations() throws IOException {
    List<String> all = new ArrayList<>();
    for (GatewayProcess gateway : gateways.values()) {
      all.addAll(gateway.violations());
    }
    return all;
  }

  static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    gateways.values().forEach(GatewayProcess::kill);
    network.close();
    for (TcpProxy proxy : clientProxies.values()) {
      proxy.close();
    }
    for (List<TcpProxy> proxies : engineProxies.values()) {
      for (TcpProxy proxy : proxies) {
        proxy.close();
      }
    }
    discoveryServices.forEach(FakeNameService::close);
    for (FakeEngine engine : engines) {
      engine.close();
    }
  }
}
