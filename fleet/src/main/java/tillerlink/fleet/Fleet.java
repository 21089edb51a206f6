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
 * Gateways and engines of a replay, and the guarantees between them. Times are tenths of a
 * millisecond.
 *
 * @param gateways how many there are
 * @param sockets file descriptors of one gateway
 * @param kinds the kinds of engine; engines name them by index
 * @param zones the names of the zones; engines name them by index
 * @param engines the engines at the start
 * @param progressInterval how often engines report the progress of an attempt
 * @param startCapacity the fraction of its cores that an engine has when it was just started
 * @param warmupTime how long an engine is warming up, until it has all of them
 * @param overloadFactor an engine that is warming up fails if it is sent more than this many times
 *     what it can do within {@code overloadWindow}
 * @param overloadWindow see {@code overloadFactor}; 0 if engines never fail so
 * @param drainGrace how long after a gateway was notified new work may still go to a draining
 *     engine
 * @param minRetries retries that are always allowed within {@code retryBudgetWindow}
 * @param retryRatio further retries for each request accepted in it
 * @param retryBudgetWindow the retry budget's sliding window
 * @param maxAttempts attempts of one request, at most
 * @param maxRetryAfter the longest time that clients are asked to stay away; 0 for never
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
  /** Microseconds in a tenth of a millisecond. */
  private static final long MICROS = 100;

  private static final int HOSTS_PER_SUBNET = 250;
  private static final int FIRST_PORT = 5050;
  private static final int FILE_DESCRIPTORS = 4096;
  private static final InetSocketAddress UNUSED =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

  /** In tenths of a millisecond. */
  public static final long SECOND = 10_000;

  /** Twelve engines of two kinds in three zones, 128 cores, behind three gateways. */
  public static Fleet builtIn(int gateways) {
    return of(gateways, 12);
  }

  /**
   * A third of the engines have 16 cores, the others 8. Its guarantees are invented: they are no
   * deployment's.
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

  /** The same engines behind that many gateways. */
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
   * The same fleet with engines of those kinds reached over HTTP/2, the others over the line
   * protocol.
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

  /** How gateways reach its engines. */
  public EngineTransport.Factory transports() {
    return new Http2TransportFactory(
        false,
        kinds.stream()
            .filter(EngineKind::http2)
            .map(EngineKind::name)
            .collect(Collectors.toUnmodifiableSet()),
        0);
  }

  /** The cores of all engines. */
  public double cores() {
    return engines.stream().mapToInt(engine -> kinds.get(engine.kind()).cores()).sum();
  }

  /**
   * The address of an engine, by its index among all that were ever started: hosts and ports of the
   * loopback range.
   */
  public static InetSocketAddress address(int index) {
    return new InetSocketAddress(
        "127.77."
            + index / HOSTS_PER_SUBNET % HOSTS_PER_SUBNET
            + "."
            + (index % HOSTS_PER_SUBNET + 1),
        FIRST_PORT + index / HOSTS_PER_SUBNET / HOSTS_PER_SUBNET);
  }

  /** An engine as discovery reports it. */
  public EndpointEntry entry(
      EngineSpec engine, InetSocketAddress at, Engine.Status standing, long startedMs) {
    EngineKind kind = kinds.get(engine.kind());
    return new EndpointEntry(
        engine.name(),
        at.getAddress().getHostAddress(),
        at.getPort(),
        zones.get(engine.zone()),
        kind.name(),
        0,
        standing,
        kind.cores() / 8.0,
        startedMs);
  }

  /** The configuration of a gateway at its start. */
  public GatewayConfig assignment(
      int gateway, long seed, List<RequestClassSpec> requestClasses, EndpointWatchEvent known) {
    return new GatewayConfig(
        "n" + gateway,
        UNUSED,
        UNUSED,
        seed,
        sockets,
        settings(requestClasses, gateway),
        List.of(known));
  }

  /** The settings in the form in which a gateway's configuration holds them. */
  public Map<String, Object> settings(List<RequestClassSpec> requestClasses, int gateway) {
    Map<String, Object> caps = new LinkedHashMap<>();
    caps.put("max_attempts", (long) maxAttempts);
    caps.put("may_cancel", true);
    caps.put("retry_after", maxRetryAfter > 0);
    caps.put("max_retry_after_us", maxRetryAfter * MICROS);
    caps.put("streams_per_conn", 32L);
    caps.put("connect_timeout_us", 400_000L);
    caps.put("conn_idle_us", 20_000_000L);
    Map<String, Object> guarantees = new LinkedHashMap<>();
    guarantees.put("drain_grace_us", drainGrace * MICROS);
    guarantees.put("extra_floor", minRetries);
    guarantees.put("further_ratio", retryRatio);
    guarantees.put("budget_span_us", retryBudgetWindow * MICROS);
    guarantees.put("fall_multiple", overloadFactor);
    guarantees.put("fall_us", overloadWindow * MICROS);
    guarantees.put("start_capacity", startCapacity);
    guarantees.put("warm_within_us", warmupTime * MICROS);
    Map<String, Object> info = new LinkedHashMap<>();
    info.put("kind_cores", kinds.stream().map(kind -> (long) kind.cores()).toList());
    info.put("tells_every_us", progressInterval * MICROS);
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

  private Map<String, Object> profile(RequestClassSpec requestClass) {
    Map<String, Object> profile = new LinkedHashMap<>();
    profile.put("name", requestClass.name());
    profile.put("semantics", requestClass.semantics());
    profile.put("group", "all");
    profile.put("window_us", requestClass.window() * MICROS);
    profile.put("aim_us", requestClass.latencyObjective() * MICROS);
    profile.put("hard_limit_us", requestClass.deadline() * MICROS);
    profile.put("worth", requestClass.value());
    profile.put("late_worth", requestClass.lateValue() / requestClass.value());
    if (!requestClass.kinds().isEmpty()) {
      profile.put(
          "models_allowed",
          requestClass.kinds().stream().map(name -> (long) kindNamed(name)).toList());
    }
    return profile;
  }

  /** The index of a kind, or -1 if there is none of that name. */
  public int kindNamed(String name) {
    for (int i = 0; i < kinds.size(); i++) {
      if (kinds.get(i).name().equals(name)) {
        return i;
      }
    }
    return -1;
  }
}
