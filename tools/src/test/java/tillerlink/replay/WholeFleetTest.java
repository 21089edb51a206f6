package tillerlink.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.LoggerFactory;
import tillerlink.fleet.Fleet;
import tillerlink.fleet.ScheduledFault;
import tillerlink.policy.DefaultDispatchPolicy;
import tillerlink.trace.Layout;
import tillerlink.trace.Shard;
import tillerlink.trace.TraceGenerator;
import tillerlink.workload.BuiltInRequestClasses;
import tillerlink.workload.WorkloadScaling;

/**
 * Runs 120 gateways in front of 300 engines through events that affect the whole fleet. Each
 * gateway may have fewer connections than there are engines.
 */
class WholeFleetTest {
  private static final long SECOND = 10_000;
  private static final int GATEWAYS = 120;
  private static final int ENGINES = 300;
  private static final int DESCRIPTORS = 512;
  private static final int ROWS = 12_000;

  @TempDir private Path folder;
  private Path trace;

  @BeforeEach
  void generateTraceAndMuteGateways() throws IOException {
    ((ch.qos.logback.classic.Logger) LoggerFactory.getLogger("tillerlink.net.state"))
        .setLevel(ch.qos.logback.classic.Level.ERROR);
    trace = folder.resolve("trace");
    try (TraceGenerator generator =
        new TraceGenerator(Layout.ALIBABA_2018, 7, 0, 5 * SECOND, Files.newOutputStream(trace))) {
      generator.make(ROWS);
    }
  }

  private ReplayResult play(List<ScheduledFault> faults) throws IOException {
    Fleet defaults = Fleet.of(GATEWAYS, ENGINES);
    Fleet fleet =
        new Fleet(
            GATEWAYS,
            DESCRIPTORS,
            defaults.kinds(),
            defaults.zones(),
            defaults.engines(),
            defaults.progressInterval(),
            defaults.startCapacity(),
            defaults.warmupTime(),
            defaults.overloadFactor(),
            defaults.overloadWindow(),
            defaults.drainGrace(),
            defaults.minRetries(),
            defaults.retryRatio(),
            defaults.retryBudgetWindow(),
            defaults.maxAttempts(),
            defaults.maxRetryAfter());
    ReplayConfig config =
        new ReplayConfig(
            List.of(Shard.of(trace)),
            Layout.ALIBABA_2018,
            BuiltInRequestClasses.requestClasses(Layout.ALIBABA_2018),
            fleet,
            faults,
            3600 * SECOND,
            null,
            0,
            0.5,
            WorkloadScaling.Scale.TIME,
            0,
            0.4,
            0.1,
            3,
            "test",
            DefaultDispatchPolicy::new);
    try (ArrivalSource arrivals = new ArrivalSource(config)) {
      return VirtualTimeReplay.play(config, arrivals, arrived -> {});
    }
  }

  @Test
  void undisturbedReplayIsDeterministicAndServesWell() throws IOException {
    ReplayResult first = play(List.of());
    assertTrue(first.isValid(), first.auditor().violations().toString());
    assertTrue(first.metrics().whole() > 0.9, "served " + first.metrics().whole());
    assertEquals(first.metrics().whole(), play(List.of()).metrics().whole());
  }

  /** Seven in ten gateways restart at the same moment, without persistent state. */
  @Test
  void massRestartKeepsTheRules() throws IOException {
    List<ScheduledFault> faults = new ArrayList<>();
    for (int i = 0; i < GATEWAYS * 7 / 10; i++) {
      faults.add(new ScheduledFault(SECOND, ScheduledFault.What.KILLED, "n" + i, SECOND, 1));
    }
    ReplayResult result = play(faults);
    assertTrue(result.isValid(), result.auditor().violations().toString());
  }

  /**
   * Six in ten engines are replaced within seconds. Cold engines must be used, and all gateways
   * together must not overload one.
   */
  @Test
  void massReplacementKeepsTheRules() throws IOException {
    List<ScheduledFault> faults = new ArrayList<>();
    for (int i = 0; i < ENGINES * 6 / 10; i++) {
      faults.add(
          new ScheduledFault(
              SECOND / 10 + i * SECOND / 100,
              ScheduledFault.What.REPLACED,
              "e" + (i + 1),
              SECOND,
              1));
    }
    ReplayResult result = play(faults);
    assertTrue(result.isValid(), result.auditor().violations().toString());
  }

  /** A third of the engines does not respond for two seconds. */
  @Test
  void zoneOutageKeepsTheRules() throws IOException {
    List<ScheduledFault> faults = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      if (i / 3 % 3 == 1) {
        faults.add(
            new ScheduledFault(SECOND, ScheduledFault.What.SILENT, "e" + (i + 1), 2 * SECOND, 1));
      }
    }
    ReplayResult result = play(faults);
    assertTrue(result.isValid(), result.auditor().violations().toString());
  }
}
