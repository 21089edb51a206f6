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
 * Writers who append cues, corrections and retractions to two channels, each at one gateway, and
 * read the logs.
 */
final class ChannelLoad extends Load {
  private static final List<String> CHANNELS = List.of("north", "south");
  private static final long SETTLE_TIMEOUT_MS = 60_000;
  private static final long POLL_INTERVAL_MS = 300;

  /** An append, repeated with its key until it is known to be accepted. */
  private record Draft(String channel, String key, String kind, String cue, String text) {}

  private final ProcessIncarnations incarnations;
  private final Map<String, Draft> unconfirmed = new ConcurrentHashMap<>();
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
  long paceMs() {
    return 30;
  }

  @Override
  void once(String gateway, RandomGenerator chance) throws IOException {
    int drawn = chance.nextInt(10);
    String channel = CHANNELS.get(chance.nextInt(CHANNELS.size()));
    if (!cluster.gateway(gateway).isRunning()) {
      return;
    }
    if (drawn < 2) {
      audit.read(channel, gateway, ChannelsClient.log(cluster.client(gateway), channel, 0));
    } else {
      Draft draft =
          unconfirmed.containsKey(gateway)
              ? unconfirmed.get(gateway)
              : draft(gateway, channel, chance);
      append(gateway, draft);
      if (drawn == 9) {
        append(gateway, draft);
      }
    }
  }

  private Draft draft(String gateway, String channel, RandomGenerator chance) {
    int number = counts.merge(gateway, 1, Integer::sum);
    String kind =
        List.of("cue", "cue", "cue", "correction", "retraction", "note").get(chance.nextInt(6));
    String cue = kind.equals("note") ? "" : "cue" + chance.nextInt(40);
    return new Draft(
        channel, gateway + "-" + number, kind, cue, "line " + number + " of " + gateway);
  }

  private void append(String gateway, Draft draft) throws IOException {
    unconfirmed.put(gateway, draft);
    String id =
        ChannelsClient.append(
            cluster.client(gateway),
            draft.channel,
            draft.key,
            draft.kind,
            draft.cue,
            draft.text,
            0);
    unconfirmed.remove(gateway);
    if (id != null) {
      audit.appended(draft.channel, gateway, incarnations.of(gateway), draft.key, id);
    }
  }

  /**
   * Waits until all gateways have the same logs with all entries stable, and passes these to the
   * audit.
   */
  void settle() {
    long until = System.nanoTime() + SETTLE_TIMEOUT_MS * 1_000_000;
    for (String channel : CHANNELS) {
      Map<String, List<ChannelLogEntry>> logs = new HashMap<>();
      String difference = "";
      do {
        pause(POLL_INTERVAL_MS);
        difference = readLogs(channel, logs);
      } while (!difference.isEmpty() && System.nanoTime() < until);
      if (!difference.isEmpty()) {
        audit.violation(Rule.NOT_SETTLED, channel + ": " + difference);
      }
      logs.forEach((gateway, log) -> audit.last(channel, gateway, log));
    }
  }

  /** Reads all logs; returns the differences, or an empty text. */
  private String readLogs(String channel, Map<String, List<ChannelLogEntry>> logs) {
    Map<String, String> differences = new TreeMap<>();
    List<String> first = null;
    for (String gateway : cluster.names()) {
      try {
        List<ChannelLogEntry> log = ChannelsClient.log(cluster.client(gateway), channel, 0);
        logs.put(gateway, log);
        audit.read(channel, gateway, log);
        List<String> ids = log.stream().map(ChannelLogEntry::id).toList();
        long tail = log.stream().filter(line -> !line.stable()).count();
        if (first != null && !first.equals(ids)) {
          differences.put(gateway, "another log, of " + ids.size() + " entries");
        } else if (tail > 0) {
          differences.put(gateway, tail + " of " + ids.size() + " entries not stable");
        }
        first = first == null ? ids : first;
      } catch (IOException e) {
        differences.put(gateway, e.getMessage());
      }
    }
    return differences.isEmpty() ? "" : differences.toString();
  }
}
