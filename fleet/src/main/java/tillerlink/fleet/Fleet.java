package tillerlink.fleet;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import tillerlink.model.Engine;
import tillerlink.net.http2.Http2TransportFactory;
import tillerlink.net.state.EngineTransport;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.net.wire.EndpointWatchEvent;
import tillerlink.net.wire.GatewayConfig;
import tillerlink.workload.RequestClassSpec;

/**
 * The gateways and engines of a replay, and the guarantees between them. Times are tenths of a
 * millisecond.
 *
 * @param gateways the number of gateways
 * @param sockets the number of file descriptors of one gateway
 * @param kinds the engine kinds; engines refer to them by index
 * @param zones the names of the zones; engines refer to them by index
 * @param engines the engines at the start
 * @param progressInterval the interval at which engines report the progress of an attempt
 * @param startCapacity the fraction of its cores that an engine can use directly after its start
 * @param warmupTime the time that an engine is warming up, until it can use all its cores
 * @param overloadFactor the overload at which an engine that is warming up fails: it is sent more
 *     than this many times the work that it can do within {@code overloadWindow}
 * @param overloadWindow the window of {@code overloadFactor}; 0 if engines do not fail from
 *     overload
 * @param drainGrace the time for which new work may still go to a draining engine, from when the
 *     gateway was notified
 * @param minRetries the number of retries that are always allowed within {@code retryBudgetWindow}
 * @param retryRatio the number of further retries for each request accepted in that window
 * @param retryBudgetWindow the sliding window of the retry budget
 * @param maxAttempts the maximum number of attempts of one request
 * @param maxRetryAfter the maximum time after which rejected clients are asked to retry; 0 if they
 *     are not asked to
 */
public record Fleet(
    int gateways,
    int sockets,
    List<EngineKind> kinds,
    List<String> zones,
    List<EngineSpec> engines,
    long progressInterval,
    double startCapacity,
    long warmupTime,
    double overloadFactor,
    long overloadWindow,
    long drainGrace,
    double minRetries,
    double retryRatio,
    long retryBudgetWindow,
    int maxAttempts,
    long maxRetryAfter) {
  private static final long MICROS_PER_TENTH = 100;

  private static final int HOSTS_PER_SUBNET = 250;
  private static final int FIRST_PORT = 5050;
  private static final int FILE_DESCRIPTORS = 4096;
  private static final InetSocketAddress UNUSED_ADDRESS =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

  /** One second, in tenths of a millisecond. */
  public static final long SECOND = 10_000;

  /**
   * Returns the default fleet: twelve engines of two kinds in three zones, with 128 cores.
   *
   * @param gateways the number of gateways
   */
  public static Fleet builtIn(int gateways) {
    return of(gateways, 12);
  }

  /**
   * Returns a fleet in which a third of the engines have 16 cores and the others 8. Its guarantees
   * are example values and not taken from a deployment.
   *
   * @param gateways the number of gateways
   * @param engines the number of engines
   */
  public static Fleet of(int gateways, int engines) {
    List<EngineSpec> specs = new ArrayList<>();
    for (int i = 0; i < engines; i++) {
      specs.add(new EngineSpec("e" + (i + 1), i % 3 == 2 ? 1 : 0, i / 3 % 3));
    }
    return new Fleet(
        gateways,
        FILE_DESCRIPTORS,
        List.of(
            new EngineKind("small-8", 8, 20_000, false),
            new EngineKind("big-16", 16, 40_000, false)),
        List.of("east", "middle", "west"),
        specs,
        3 * SECOND / 2,
        0.25,
        10 * SECOND,
        3.5,
        2 * SECOND,
        4 * SECOND / 5,
        4,
        0.15,
        12 * SECOND,
        4,
        4 * SECOND / 5);
  }

  /** Returns the same fleet with another number of gateways. */
  public Fleet withGateways(int count) {
    return new Fleet(
        count,
        sockets,
        kinds,
        zones,
        engines,
        progressInterval,
        startCapacity,
        warmupTime,
        overloadFactor,
        overloadWindow,
        drainGrace,
        minRetries,
        retryRatio,
        retryBudgetWindow,
        maxAttempts,
        maxRetryAfter);
  }

  /**
   * Returns the same fleet, in which engines of the selected kinds are reached over HTTP/2 and the
   * others over the line protocol.
   *
   * @param which selects the kinds
   */
  public Fleet overHttp2(Predicate<EngineKind> which) {
    return new Fleet(
        gateways,
        sockets,
        kinds.stream()
            .map(kind -> new EngineKind(kind.name(), kind.cores(), kind.memory(), which.test(kind)))
            .toList(),
        zones,
        engines,
        progressInterval,
        startCapacity,
        warmupTime,
        overloadFactor,
        overloadWindow,
        drainGrace,
        minRetries,
        retryRatio,
        retryBudgetWindow,
        maxAttempts,
        maxRetryAfter);
  }

  /** Returns the transports over which gateways reach the engines. */
  public EngineTransport.Factory transports() {
    return new Http2TransportFactory(
        false,
        kinds.stream()
            .filter(EngineKind::http2)
            .map(EngineKind::name)
            .collect(Collectors.toUnmodifiableSet()),
        0);
  }

  /** Returns the number of cores of all engines together. */
  public double cores() {
    return engines.stream().mapToInt(engine -> kinds.get(engine.kind()).cores()).sum();
  }

  /**
   * Returns the address of an engine, which is in the loopback range.
   *
   * @param index the index of the engine among all engines that were ever started
   */
  public static InetSocketAddress address(int index) {
    return new InetSocketAddress(
        "127.77."
            + index / HOSTS_PER_SUBNET % HOSTS_PER_SUBNET
            + "."
            + (index % HOSTS_PER_SUBNET + 1),
        FIRST_PORT + index / HOSTS_PER_SUBNET / HOSTS_PER_SUBNET);
  }

  /**
   * Returns the entry of an engine in the endpoint list, as the discovery service reports it.
   *
   * @param address the address of the engine
   * @param startedMs the time at which the engine started, in milliseconds
   */
  public EndpointEntry entry(
      EngineSpec engine, InetSocketAddress address, Engine.Status status, long startedMs) {
    EngineKind kind = kinds.get(engine.kind());
    return new EndpointEntry(
        engine.name(),
        address.getAddress().getHostAddress(),
        address.getPort(),
        zones.get(engine.zone()),
        kind.name(),
        0,
        status,
        kind.cores() / 8.0,
        startedMs);
  }

  /**
   * Returns the configuration of a gateway at its start.
   *
   * @param gateway the index of the gateway
   * @param seed the seed of the gateway's random numbers
   * @param known the endpoint list that the gateway starts with
   */
  public GatewayConfig assignment(
      int gateway, long seed, List<RequestClassSpec> requestClasses, EndpointWatchEvent known) {
    return new GatewayConfig(
        "n" + gateway,
        UNUSED_ADDRESS,
        UNUSED_ADDRESS,
        seed,
        sockets,
        settings(requestClasses, gateway),
        List.of(known));
  }

  /**
   * Returns the settings in the form of a gateway's configuration. Times are microseconds.
   *
   * @param gateway the index of the gateway
   */
  public Map<String, Object> settings(List<RequestClassSpec> requestClasses, int gateway) {
    Map<String, Object> caps = new LinkedHashMap<>();
    caps.put("max_attempts", (long) maxAttempts);
    caps.put("may_cancel", true);
    caps.put("retry_after", maxRetryAfter > 0);
    caps.put("max_retry_after_us", maxRetryAfter * MICROS_PER_TENTH);
    caps.put("streams_per_conn", 32L);
    caps.put("connect_timeout_us", 400_000L);
    caps.put("conn_idle_us", 20_000_000L);
    Map<String, Object> guarantees = new LinkedHashMap<>();
    guarantees.put("drain_grace_us", drainGrace * MICROS_PER_TENTH);
    guarantees.put("extra_floor", minRetries);
    guarantees.put("further_ratio", retryRatio);
    guarantees.put("budget_span_us", retryBudgetWindow * MICROS_PER_TENTH);
    guarantees.put("fall_multiple", overloadFactor);
    guarantees.put("fall_us", overloadWindow * MICROS_PER_TENTH);
    guarantees.put("start_capacity", startCapacity);
    guarantees.put("warm_within_us", warmupTime * MICROS_PER_TENTH);
    Map<String, Object> info = new LinkedHashMap<>();
    info.put("kind_cores", kinds.stream().map(kind -> (long) kind.cores()).toList());
    info.put("tells_every_us", progressInterval * MICROS_PER_TENTH);
    info.put(
        "width_by_class",
        requestClasses.stream().map(requestClass -> (long) requestClass.width()).toList());
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("instances", (long) gateways);
    all.put("me", (long) gateway);
    all.put("tick_us", 5000L);
    all.put("discovery", "push");
    all.put("models", kinds.stream().map(EngineKind::name).toList());
    all.put("zones", zones);
    all.put("caps", caps);
    all.put("guarantees", guarantees);
    all.put("family_info", info);
    all.put("profiles", requestClasses.stream().map(this::profile).toList());
    return all;
  }

  /** Returns the settings of a request class. Times are microseconds. */
  private Map<String, Object> profile(RequestClassSpec requestClass) {
    Map<String, Object> profile = new LinkedHashMap<>();
    profile.put("name", requestClass.name());
    profile.put("semantics", requestClass.semantics());
    profile.put("group", "all");
    profile.put("window_us", requestClass.window() * MICROS_PER_TENTH);
    profile.put("aim_us", requestClass.latencyObjective() * MICROS_PER_TENTH);
    profile.put("hard_limit_us", requestClass.deadline() * MICROS_PER_TENTH);
    profile.put("worth", requestClass.value());
    profile.put("late_worth", requestClass.lateValue() / requestClass.value());
    if (!requestClass.kinds().isEmpty()) {
      profile.put(
          "models_allowed",
          requestClass.kinds().stream().map(name -> (long) kindNamed(name)).toList());
    }
    return profile;
  }

  /** Returns the index of an engine kind, or -1 if no kind has the name. */
  public int kindNamed(String name) {
    for (int i = 0; i < kinds.size(); i++) {
      if (kinds.get(i).name().equals(name)) {
        return i;
      }
    }
    return -1;
  }
}
