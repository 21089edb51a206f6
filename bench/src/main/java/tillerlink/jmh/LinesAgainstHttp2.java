package tillerlink.jmh;

import java.util.List;
import java.util.Locale;
import tillerlink.audit.Auditor;
import tillerlink.emulator.CostMeter;
import tillerlink.emulator.EmulatedCluster;
import tillerlink.fleet.Fleet;
import tillerlink.model.Effect;
import tillerlink.policy.DefaultDispatchPolicy;
import tillerlink.replay.GatewayConnections;
import tillerlink.replay.ReplayClients;
import tillerlink.replay.ReplayMetrics;
import tillerlink.replay.RequestEncoder;
import tillerlink.workload.Arrival;
import tillerlink.workload.RequestClassSpec;

/**
 * Compares engine lines with HTTP/2 in one run, on one thread, in virtual time: the connections at
 * 1,000 attempts in flight over 30 engines, the processor time and allocation of a gateway for a
 * request, and its response times at half load.
 */
public final class LinesAgainstHttp2 {
  private static final long START = 17_000_000_000_000L;
  private static final int ROUNDS = 4;
  private static final int REQUESTS = 20_000;
  private static final RequestClassSpec REQUEST_CLASS =
      new RequestClassSpec(
          "look", Effect.PURE, 1, 200_000, 400_000, 1, 0.5, List.of(), 0, 1, List.of());

  private LinesAgainstHttp2() {}

  /** Prints each measurement for both protocols in turn, in several rounds. */
  public static void main(String[] args) {
    for (int round = 0; round < ROUNDS; round++) {
      for (boolean http2 : new boolean[] {false, true}) {
        measureConnections(http2);
        measureAtHalfLoad(http2);
      }
    }
  }

  private static EmulatedCluster cluster(boolean http2) {
    Fleet fleet = Fleet.of(1, 30).overHttp2(kind -> http2);
    return new EmulatedCluster(
            fleet, List.of(REQUEST_CLASS), new Auditor(fleet, List.of(REQUEST_CLASS)), START)
        .startGateways(DefaultDispatchPolicy::new, 1);
  }

  private static void measureConnections(boolean http2) {
    EmulatedCluster cluster = cluster(http2);
    ReplayClients clients =
        new ReplayClients(
            cluster,
            new GatewayConnections(cluster),
            new ReplayMetrics(List.of(REQUEST_CLASS)),
            new RequestEncoder(1, 0));
    for (int i = 0; i < 1000; i++) {
      Arrival arrival = new Arrival(i * 10L, i, 0, 60_000, 1, i % 64, i);
      cluster.timeline.at(START + arrival.at(), () -> clients.arrive(arrival));
    }
    int maxConnections = 0;
    int maxInFlight = 0;
    while (cluster.now() < START + 30_000) {
      cluster.timeline.step();
      maxConnections = Math.max(maxConnections, cluster.gateway(0).engineConnections());
      maxInFlight = Math.max(maxInFlight, clients.open());
    }
    System.out.printf(
        Locale.ROOT,
        "%s: %d connections at %d submissions in flight%n",
        protocolName(http2),
        maxConnections,
        maxInFlight);
  }

  private static void measureAtHalfLoad(boolean http2) {
    EmulatedCluster cluster = cluster(http2);
    CostMeter meter = new CostMeter();
    cluster.costMeter(meter);
    ReplayMetrics metrics = new ReplayMetrics(List.of(REQUEST_CLASS));
    ReplayClients clients =
        new ReplayClients(
            cluster, new GatewayConnections(cluster), metrics, new RequestEncoder(1, 0.2));
    double arrivalInterval = 500 / (cluster.fleet.cores() * 0.5);
    for (int i = 0; i < REQUESTS; i++) {
      Arrival arrival = new Arrival((long) (i * arrivalInterval), i, 0, 500, 1, i % 64, i);
      cluster.timeline.at(START + arrival.at(), () -> clients.arrive(arrival));
    }
    long startNanos = System.nanoTime();
    while (metrics.arrived() < REQUESTS || clients.open() > 0) {
      cluster.timeline.step();
    }
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    ReplayMetrics.RequestClassMetrics classMetrics = metrics.requestClasses().get(0);
    System.out.printf(
        Locale.ROOT,
        "%s: %.1f us and %d bytes of a gateway a submission, %.0f a second with "
            + "all stand-ins, half in %.1f ms, 99 of 100 in %.1f ms, %d connections%n",
        protocolName(http2),
        meter.nanos() / 1e3 / REQUESTS,
        meter.bytes() / REQUESTS,
        REQUESTS / seconds,
        classMetrics.timeMs(50),
        classMetrics.timeMs(99),
        cluster.gateway(0).engineConnections());
  }

  private static String protocolName(boolean http2) {
    return http2 ? "HTTP/2" : "lines ";
  }
}
