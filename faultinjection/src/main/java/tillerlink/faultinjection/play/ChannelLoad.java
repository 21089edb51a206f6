package tillerlink.faultinjection.play;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import tillerlink.faultinjection.audit.Audit;
import tillerlink.faultinjection.audit.LogLine;
import tillerlink.faultinjection.audit.Rule;
import tillerlink.faultinjection.client.Channels;
import tillerlink.faultinjection.harness.ProcessCluster;
import tillerlink.faultinjection.harness.ProcessIncarnations;

/**
 * Operators who write cues, corrections and retractions to two channels, each at one gateway, and
 * read the logs.
 */
final class ChannelLoad extends Load {
  private static final List<String> CHANNELS = List.of("north", "south");
  private static final long SETTLED_MS = 60_000;
  private static final long AT_ONCE_MS = 300;

  /** What a writer asked for; asked again with its key until it is known to be taken. */
  private record Draft(String channel, String key, String kind, String cue, String text) {}

  private final ProcessIncarnations lives;
  private final Map<String, Draft> unsure = new ConcurrentHashMap<>();
  private final Map<String, Integer> counts = new ConcurrentHashMap<>();

  ChannelLoad(
      ProcessCluster rig, Audit audit, Disturbed disturbed, ProcessIncarnations lives, long seed) {
    super(rig, audit, disturbed, seed);
    this.lives = lives;
  }

  @Override
  long paceMs() {
    return 30;
  }

  @Override
  void once(String gateway, RandomGenerator chance) throws IOException {
    int drawn = chance.nextInt(10);
    String channel = CHANNELS.get(chance.nextInt(CHANNELS.size()));
    if (!rig.gateway(gateway).isRunning()) {
      return;
    }
    if (drawn < 2) {
      audit.read(channel, gateway, Channels.log(rig.client(gateway), channel, 0));
    } else {
      Draft draft =
          unsure.containsKey(gateway) ? unsure.get(gateway) : draft(gateway, channel, chance);
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
    unsure.put(gateway, draft);
    String id =
        Channels.append(
            rig.client(gateway), draft.channel, draft.key, draft.kind, draft.cue, draft.text, 0);
    unsure.remove(gateway);
    if (id != null) {
      audit.taken(draft.channel, gateway, lives.of(gateway), draft.key, id);
    }
  }

  /**
   * Waits until all gateways have the same logs and all of it stands, and hands these to the audit.
   */
  void settle() {
    long until = System.nanoTime() + SETTLED_MS * 1_000_000;
    for (String channel : CHANNELS) {
      Map<String, List<LogLine>> logs = new HashMap<>();
      String trouble = "";
      do {
        pause(AT_ONCE_MS);
        trouble = gather(channel, logs);
      } while (!trouble.isEmpty() && System.nanoTime() < until);
      if (!trouble.isEmpty()) {
        audit.broken(Rule.NOT_SETTLED, channel + ": " + trouble);
      }
      logs.forEach((gateway, log) -> audit.last(channel, gateway, log));
    }
  }

  /** Reads all logs; tells what is not yet as it should be. */
  private String gather(String channel, Map<String, List<LogLine>> logs) {
    Map<String, String> troubles = new TreeMap<>();
    List<String> first = null;
    for (String gateway : rig.names()) {
      try {
        List<LogLine> log = Channels.log(rig.client(gateway), channel, 0);
        logs.put(gateway, log);
        audit.read(channel, gateway, log);
        List<String> ids = log.stream().map(LogLine::id).toList();
        long tail = log.stream().filter(line -> !line.stable()).count();
        if (first != null && !first.equals(ids)) {
          troubles.put(gateway, "another log, of " + ids.size() + " entries");
        } else if (tail > 0) {
          troubles.put(gateway, tail + " of " + ids.size() + " entries not stable");
        }
        first = first == null ? ids : first;
      } catch (IOException e) {
        troubles.put(gateway, e.getMessage());
      }
    }
    return troubles.isEmpty() ? "" : troubles.toString();
  }
}
