package tillerlink.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.LoggerFactory;
import tillerlink.baseline.BaselinePolicy;
import tillerlink.cli.Tillerlink;
import tillerlink.fleet.Fleet;
import tillerlink.fleet.ScheduledFault;
import tillerlink.harness.ProcessHarness;
import tillerlink.policy.DefaultDispatchPolicy;
import tillerlink.port.DispatchPolicyFactory;
import tillerlink.trace.Layout;
import tillerlink.trace.Shard;
import tillerlink.trace.TraceGenerator;
import tillerlink.workload.BuiltInRequestClasses;
import tillerlink.workload.WorkloadScaling;

/**
 * Plays small complete replays. They are deterministic, account for every row and request, and
 * violate no rule.
 */
class ReplayTest {
  private static final long SECOND = 10_000;

  @TempDir private Path folder;

  @BeforeEach
  void muteGateways() {
    ((ch.qos.logback.classic.Logger) LoggerFactory.getLogger("tillerlink.net.state"))
        .setLevel(ch.qos.logback.classic.Level.ERROR);
  }

  private Path trace(Layout layout, long rows, double bad) throws IOException {
    Path file = folder.resolve(layout.name() + rows);
    try (TraceGenerator generator =
        new TraceGenerator(layout, 7, bad, 5 * SECOND, Files.newOutputStream(file))) {
      generator.make(rows);
    }
    return file;
  }

  private static ReplayConfig config(
      Layout layout,
      Path trace,
      Fleet fleet,
      double load,
      DispatchPolicyFactory policies,
      ScheduledFault... faults) {
    return new ReplayConfig(
        List.of(Shard.of(trace)),
        layout,
        BuiltInRequestClasses.requestClasses(layout),
        fleet,
        List.of(faults),
        3600 * SECOND,
        null,
        0,
        load,
        WorkloadScaling.Scale.TIME,
        0,
        0.4,
        0.1,
        3,
        "test",
        policies);
  }

  private static ReplayResult play(ReplayConfig config) throws IOException {
    try (ArrivalSource arrivals = new ArrivalSource(config)) {
      return VirtualTimeReplay.play(config, arrivals, arrived -> {});
    }
  }

  @Test
  void sameReplayGivesTheSameReportAndAccountsForAllRows() throws IOException {
    for (Layout layout : Layout.KNOWN) {
      Path trace = trace(layout, 1500, 0.05);
      List<byte[]> reports = new ArrayList<>();
      for (int i = 0; i < 2; i++) {
        ReplayResult result =
            play(config(layout, trace, Fleet.builtIn(3), 1.1, DefaultDispatchPolicy::new));
        assertTrue(result.isValid(), layout.name() + result.auditor().violations());
        assertEquals(0, result.auditor().openRequests());
        Path report = folder.resolve("report");
        JsonReport.write(result, report);
        HtmlReport.write(result, folder.resolve("page"));
        reports.add(Files.readAllBytes(report));
      }
      assertEquals(
          new String(reports.get(0), StandardCharsets.UTF_8),
          new String(reports.get(1), StandardCharsets.UTF_8));
    }
  }

  @Test
  void defaultPolicyServesMoreThanRandomChoice() throws IOException {
    Path trace = trace(Layout.ALIBABA_2018, 3000, 0);
    double module =
        play(config(Layout.ALIBABA_2018, trace, Fleet.builtIn(3), 0.9, DefaultDispatchPolicy::new))
            .metrics()
            .whole();
    ReplayResult random =
        play(
            config(
                Layout.ALIBABA_2018,
                trace,
                Fleet.builtIn(3),
                0.9,
                BaselinePolicy.of(BaselinePolicy.Choice.RANDOM)));
    assertTrue(random.auditor().counts().isEmpty(), random.auditor().violations().toString());
    assertTrue(
        module > random.metrics().whole() + 0.1, module + " against " + random.metrics().whole());
  }

  /**
   * Injects every kind of scheduled fault once. The kept trace has the incidents and, for each
   * second, how requests ended.
   */
  @Test
  void scheduledFaultsGiveTheKeptTrace() throws IOException {
    Path trace = trace(Layout.ALIBABA_2018, 6000, 0);
    ReplayResult result =
        play(
            config(
                Layout.ALIBABA_2018,
                trace,
                Fleet.builtIn(3),
                0.6,
                DefaultDispatchPolicy::new,
                new ScheduledFault(2 * SECOND, ScheduledFault.What.SLOW, "e2", 4 * SECOND, 5),
                new ScheduledFault(5 * SECOND, ScheduledFault.What.SILENT, "e3", 4 * SECOND, 1),
                new ScheduledFault(8 * SECOND, ScheduledFault.What.GONE, "e4", 0, 1),
                new ScheduledFault(10 * SECOND, ScheduledFault.What.DRAINED, "e5", 2 * SECOND, 1),
                new ScheduledFault(13 * SECOND, ScheduledFault.What.REPLACED, "e6", 2 * SECOND, 1),
                new ScheduledFault(17 * SECOND, ScheduledFault.What.KILLED, "n1", SECOND, 1),
                new ScheduledFault(18 * SECOND, ScheduledFault.What.DRAINED, "e4", SECOND, 1)));
    assertTrue(result.isValid(), result.auditor().violations().toString());
    StringBuilder printed = new StringBuilder();
    result.cluster().incidents().forEach(line -> printed.append(line).append('\n'));
    TimeSeries series = result.metrics().series();
    printed.append("second  arrived in_time late turned_back broken_off gone killed\n");
    for (int i = 0; i < series.bins(); i++) {
      printed.append(String.format(Locale.ROOT, "%4d %8d", i, series.count(0, i)));
      for (End end : End.values()) {
        printed.append(
            String.format(Locale.ROOT, " %5d", series.count(ReplayMetrics.seriesOf(end), i)));
      }
      printed.append('\n');
    }
    assertKept("replay-troubles", printed.toString());
  }

  /**
   * Compares a printed trace with the kept one. With {@code -Dkeep=folder} it also writes the
   * printed trace to that folder.
   */
  static void assertKept(String name, String printed) throws IOException {
    String keep = System.getProperty("keep");
    if (keep != null) {
      Files.writeString(Path.of(keep, name + ".txt"), printed);
    }
    try (InputStream in = ReplayTest.class.getResourceAsStream("/traces/" + name + ".txt")) {
      assertEquals(
          in == null ? "(no kept trace)" : new String(in.readAllBytes(), StandardCharsets.UTF_8),
          printed);
    }
  }

  @Test
  void traceInAnotherLayoutIsRejected() throws IOException {
    Path wrong = trace(Layout.AZURE_2019, 2000, 0);
    assertTrue(
        assertThrows(
                InvalidTraceException.class,
                () ->
                    play(
                        config(
                            Layout.ALIBABA_2018,
                            wrong,
                            Fleet.builtIn(1),
                            0.5,
                            DefaultDispatchPolicy::new)))
            .getMessage()
            .endsWith("rows are bad: share 1.0000 exceeds the limit of 0.1000"));
    Path empty = Files.createFile(folder.resolve("empty"));
    assertEquals(
        "the trace has no usable row",
        assertThrows(
                InvalidTraceException.class,
                () ->
                    play(
                        config(
                            Layout.ALIBABA_2018,
                            empty,
                            Fleet.builtIn(1),
                            0.5,
                            DefaultDispatchPolicy::new)))
            .getMessage());
  }

  /**
   * A gateway that is killed while the discovery service is down starts from its endpoint cache on
   * disk and serves. The engine that it had seen draining gets no request.
   */
  @Test
  void gatewayStartsFromItsStoreWhileDiscoveryIsDown() throws IOException {
    Path trace = trace(Layout.ALIBABA_2018, 700, 0);
    ReplayConfig config =
        config(
            Layout.ALIBABA_2018,
            trace,
            Fleet.of(1, 4),
            0.4,
            DefaultDispatchPolicy::new,
            new ScheduledFault(SECOND, ScheduledFault.What.DRAINED, "e1", 60 * SECOND, 1),
            new ScheduledFault(3 * SECOND, ScheduledFault.What.KILLED, "n0", SECOND / 10, 1));
    try (ArrivalSource arrivals = new ArrivalSource(config)) {
      ReplayResult result =
          ProcessHarness.play(
              config,
              arrivals,
              arrived -> {},
              folder.resolve("store"),
              cluster ->
                  cluster.timeline.at(
                      cluster.now() + 1,
                      () -> cluster.onKill(gateway -> cluster.discoveryDownUntil(Long.MAX_VALUE))));
      assertTrue(result.auditor().counts().isEmpty(), result.auditor().violations().toString());
      assertTrue(result.metrics().addsUp());
      TimeSeries series = result.metrics().series();
      long servedAfterRestart = 0;
      for (int i = 6; i < series.bins(); i++) {
        servedAfterRestart += series.count(ReplayMetrics.seriesOf(End.IN_TIME), i);
      }
      assertTrue(servedAfterRestart > 50, "served after the restart: " + servedAfterRestart);
      assertEquals(0, Tillerlink.execute("store", "check", folder.resolve("store/n0").toString()));
      assertEquals(0, Tillerlink.execute("store", "show", folder.resolve("store/n0").toString()));
      assertEquals(
          0, Tillerlink.execute("store", "compact", folder.resolve("store/n0").toString()));
    }
  }

  /**
   * Runs real processes in real time: engines over both protocols, of which one is drained and one
   * is killed, and two gateways, of which one is killed.
   */
  @Test
  void replayOverSocketsKeepsTheRules() throws IOException {
    Path trace = trace(Layout.ALIBABA_2018, 400, 0);
    Fleet mixed = Fleet.of(2, 4).overHttp2(kind -> kind.name().startsWith("big"));
    ReplayConfig config =
        config(
            Layout.ALIBABA_2018,
            trace,
            mixed,
            0.3,
            DefaultDispatchPolicy::new,
            new ScheduledFault(SECOND / 2, ScheduledFault.What.GONE, "e3", 0, 1),
            new ScheduledFault(SECOND, ScheduledFault.What.DRAINED, "e1", SECOND, 1),
            new ScheduledFault(2 * SECOND, ScheduledFault.What.KILLED, "n1", SECOND / 2, 1));
    try (ArrivalSource arrivals = new ArrivalSource(config)) {
      ReplayResult result = ProcessHarness.play(config, arrivals, arrived -> {});
      assertTrue(result.auditor().counts().isEmpty(), result.auditor().violations().toString());
      assertTrue(result.metrics().addsUp());
      assertEquals(400, result.metrics().arrived());
      assertTrue(result.metrics().whole() > 0.6, "served " + result.metrics().whole());
      assertEquals(5, result.cluster().incidents().size(), result.cluster().incidents().toString());
    }
  }
}
