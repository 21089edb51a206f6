package tillerlink.faultinjection.schedule;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import tillerlink.faultinjection.audit.Audit;
import tillerlink.faultinjection.audit.ChannelLogEntry;
import tillerlink.faultinjection.audit.Rule;
import tillerlink.faultinjection.client.ChannelsClient;
import tillerlink.faultinjection.harness.ProcessCluster;
import tillerlink.faultinjection.harness.ProcessIncarnations;

/**
 * A load of one client per gateway that appends cues, corrections, retractions and notes to two
 * channels and reads their logs.
 */
final class ChannelLoad extends Load {
  private static final List<String> CHANNELS = List.of("north", "south");
  private static final long SETTLE_TIMEOUT_MS = 60_000;
  private static final long POLL_INTERVAL_MS = 300;

  /** An append that is repeated with its idempotency key until its outcome is known. */
  private record PendingAppend(String channel, String key, String kind, String cue, String text) {}

  private final ProcessIncarnations incarnations;

  /** The append of each gateway whose outcome is unknown because the connection failed. */
  private final Map<String, PendingAppend> unconfirmed = new ConcurrentHashMap<>();

  private final Map<String, Integer> counts = new ConcurrentHashMap<>();

  ChannelLoad(
      ProcessCluster cluster,
      Audit audit,
      DisruptionTracker disruptions,
      ProcessIncarnations incarnations,
      long seed) {
    super(cluster, audit, disruptions, seed);
    this.incarnations = incarnations;
  }

  @Override
  String seedName() {
    return "ChannelLoad";
  }

  @Override
  long meanPauseMs() {
    return 30;
  }

  @Override
  void sendOne(String gateway, RandomGenerator random) throws IOException {
    int draw = random.nextInt(10);
    String channel = CHANNELS.get(random.nextInt(CHANNELS.size()));
    if (!cluster.gateway(gateway).isRunning()) {
      return;
    }
    if (draw < 2) {
      audit.read(channel, gateway, ChannelsClient.log(cluster.client(gateway), channel, 0));
    } else {
      PendingAppend pending =
          unconfirmed.containsKey(gateway)
              ? unconfirmed.get(gateway)
              : newAppend(gateway, channel, random);
      append(gateway, pending);
      if (draw == 9) {
        append(gateway, pending);
      }
    }
  }

  private PendingAppend newAppend(String gateway, String channel, RandomGenerator random) {
    int number = counts.merge(gateway, 1, Integer::sum);
    String kind =
        List.of("cue", "cue", "cue", "correction", "retraction", "note").get(random.nextInt(6));
    String cue = kind.equals("note") ? "" : "cue" + random.nextInt(40);
    return new PendingAppend(
        channel, gateway + "-" + number, kind, cue, "line " + number + " of " + gateway);
  }

  private void append(String gateway, PendingAppend pending) throws IOException {
    unconfirmed.put(gateway, pending);
    String id =
        ChannelsClient.append(
            cluster.client(gateway),
            pending.channel,
            pending.key,
            pending.kind,
            pending.cue,
            pending.text,
            0);
    unconfirmed.remove(gateway);
    if (id != null) {
      audit.appended(pending.channel, gateway, incarnations.of(gateway), pending.key, id);
    }
  }

  /**
   * Waits until all gateways have the same logs with all entries stable, and passes the logs to the
   * audit. Adds a violation for each channel that has not settled {@value #SETTLE_TIMEOUT_MS} ms
   * after the call.
   */
  void settle() {
    long deadline = System.nanoTime() + SETTLE_TIMEOUT_MS * 1_000_000;
    for (String channel : CHANNELS) {
      Map<String, List<ChannelLogEntry>> logs = new HashMap<>();
      String difference = "";
      do {
        pause(POLL_INTERVAL_MS);
        difference = readLogs(channel, logs);
      } while (!difference.isEmpty() && System.nanoTime() < deadline);
      if (!difference.isEmpty()) {
        audit.violation(Rule.NOT_SETTLED, channel + ": " + difference);
      }
      logs.forEach((gateway, log) -> audit.last(channel, gateway, log));
    }
  }

  /** Reads the logs of a channel at all gateways; returns the differences, or an empty text. */
  private String readLogs(String channel, Map<String, List<ChannelLogEntry>> logs) {
    Map<String, String> differences = new TreeMap<>();
    List<String> first = null;
    for (String gateway : cluster.names()) {
      try {
        List<ChannelLogEntry> log = ChannelsClient.log(cluster.client(gateway), channel, 0);
        logs.put(gateway, log);
        audit.read(channel, gateway, log);
        List<String> ids = log.stream().map(ChannelLogEntry::id).toList();
        long provisional = log.stream().filter(line -> !line.stable()).count();
        if (first != null && !first.equals(ids)) {
          differences.put(gateway, "a different log, of " + ids.size() + " entries");
        } else if (provisional > 0) {
          differences.put(gateway, provisional + " of " + ids.size() + " entries are not stable");
        }
        first = first == null ? ids : first;
      } catch (IOException e) {
        differences.put(gateway, e.getMessage());
      }
    }
    return differences.isEmpty() ? "" : differences.toString();
  }
}
