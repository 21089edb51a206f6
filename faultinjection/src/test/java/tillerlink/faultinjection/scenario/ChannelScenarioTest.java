package tillerlink.faultinjection.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;
import org.junit.jupiter.api.io.TempDir;
import tillerlink.faultinjection.audit.Audit;
import tillerlink.faultinjection.audit.ChannelLogEntry;
import tillerlink.faultinjection.client.ChannelsClient;
import tillerlink.faultinjection.harness.ProcessCluster;
import tillerlink.faultinjection.harness.ProcessIncarnations;
import tillerlink.faultinjection.process.GatewayProcess;
import tillerlink.faultinjection.process.GatewaySpec;

/**
 * Tests that the channel logs of three gateway processes at three sites converge after faults. Each
 * scenario uses its own channel.
 */
class ChannelScenarioTest {
  @TempDir private static Path folder;
  private static ProcessCluster cluster;
  private static final ProcessIncarnations INCARNATIONS = new ProcessIncarnations();
  private Audit audit;
  private Scenario scenario;
  private String channel;

  @BeforeAll
  static void start() throws IOException {
    cluster =
        new ProcessCluster(
            folder,
            2,
            new ProcessCluster.Topology(3, 3, 1, 1, GatewaySpec.Shared.CHANNELS),
            System.getProperty("java.class.path"),
            (engine, command) -> {});
    cluster.start();
  }

  @AfterAll
  static void end() throws IOException {
    cluster.close();
  }

  @BeforeEach
  void begin(TestInfo info) {
    channel = info.getTestMethod().orElseThrow().getName();
    audit = new Audit();
    scenario = new Scenario(cluster);
    scenario.awaitConvergence();
  }

  /** Appends a cue through a gateway, with its text as its key; retries until it is accepted. */
  private void append(String gateway, String text) {
    scenario.log.until(
        gateway + " takes '" + text + "'",
        () -> {
          String id =
              ChannelsClient.append(
                  cluster.client(gateway), channel, text, "cue", "cue of " + text, text, 0);
          if (id != null) {
            audit.appended(channel, gateway, INCARNATIONS.of(gateway), text, id);
          }
          return id != null;
        });
  }

  /** Reads the channel's log from a gateway and reports it to the audit. */
  private List<ChannelLogEntry> log(String gateway) throws IOException {
    List<ChannelLogEntry> log = ChannelsClient.log(cluster.client(gateway), channel, 0);
    audit.read(channel, gateway, log);
    return log;
  }

  /** Waits until a gateway reports exactly that many entries as stable. */
  private void awaitStable(String gateway, int count) {
    scenario.log.until(
        gateway + " tells " + count + " entries as stable",
        () -> log(gateway).stream().filter(ChannelLogEntry::stable).count() == count);
  }

  /**
   * Waits until all gateways report the same log, in which every entry is stable, and asserts that
   * the audit found no violation.
   *
   * @param count the expected number of entries
   */
  private void assertLogsConverge(int count) throws IOException {
    scenario.log.until(
        "all have one log of " + count + " entries, all stable",
        () -> {
          Set<List<String>> logs = new TreeSet<>((a, b) -> a.toString().compareTo(b.toString()));
          for (String name : cluster.names()) {
            List<ChannelLogEntry> log = log(name);
            logs.add(log.stream().map(ChannelLogEntry::id).toList());
            if (log.size() != count || !log.stream().allMatch(ChannelLogEntry::stable)) {
              return false;
            }
          }
          return logs.size() == 1;
        });
    for (String name : cluster.names()) {
      audit.last(channel, name, log(name));
    }
    assertEquals(List.of(), audit.end());
  }

  @Test
  void bothSidesOfAPartitionKeepAppending() throws IOException {
    append("n0", "first");
    assertLogsConverge(1);
    cluster.partition(List.of("n0", "n1"), List.of("n2"));
    scenario.log.record("n0 and n1 are parted from n2");
    append("n0", "a");
    append("n2", "x");
    append("n1", "b");
    append("n2", "y");
    scenario.log.until("n1 has 3 entries", () -> log("n1").size() == 3);
    scenario.log.until("n2 has 3 entries", () -> log("n2").size() == 3);
    awaitStable("n2", 1);
    cluster.heal();
    scenario.log.record("the partition is healed");
    assertLogsConverge(5);
    scenario.assertMatchesStored("channels-parted");
  }

  @Test
  void gatewayRecoversTheLogAfterLosingItsDisk() throws IOException {
    GatewayProcess n1 = cluster.gateway("n1");
    append("n1", "before");
    append("n0", "too");
    assertLogsConverge(2);
    n1.kill();
    scenario.log.record("n1 is killed, and its disk is lost");
    INCARNATIONS.diskLost("n1");
    audit.diskLost("n1");
    n1.loseDisk();
    append("n0", "meanwhile");
    n1.start();
    cluster.awaitHealthy("n1");
    scenario.log.record("n1 is started with an empty disk");
    append("n1", "after");
    assertLogsConverge(4);
    scenario.assertMatchesStored("channels-disk-lost");
  }

  @Test
  void gatewayRecoversTheLogAfterRestoringAnOldDisk() throws IOException {
    GatewayProcess n1 = cluster.gateway("n1");
    append("n1", "in the copy");
    assertLogsConverge(1);
    n1.kill();
    n1.copyDisk();
    scenario.log.record("n1 is killed, and its disk copied");
    n1.start();
    cluster.awaitHealthy("n1");
    append("n1", "not in the copy");
    append("n1", "neither");
    assertLogsConverge(3);
    n1.kill();
    INCARNATIONS.diskLost("n1");
    audit.diskLost("n1");
    n1.restoreDisk();
    n1.start();
    cluster.awaitHealthy("n1");
    scenario.log.record("n1 is killed, and started with the copy");
    append("n1", "after");
    assertLogsConverge(4);
    scenario.assertMatchesStored("channels-old-copy");
  }
}
