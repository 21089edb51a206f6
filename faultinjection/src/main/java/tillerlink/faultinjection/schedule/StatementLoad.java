package tillerlink.faultinjection.schedule;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import tillerlink.fakes.EngineCommandParser.Command;
import tillerlink.faultinjection.audit.Audit;
import tillerlink.faultinjection.audit.Rule;
import tillerlink.faultinjection.client.HttpEndpointClient;
import tillerlink.faultinjection.client.StatementsClient;
import tillerlink.faultinjection.harness.ProcessCluster;

/**
 * Statements that are prepared at one gateway and run at all, while the schemas of their groups
 * change: each change renames a column that the text names, from v1 to v2 and so on, so that what
 * an engine is sent tells under which schema it was prepared.
 */
final class StatementLoad extends Load {
  private static final long SETTLE_TIMEOUT_NANOS = 60_000_000_000L;
  private static final int GROUP = 17;
  private static final int GROUPS = 2;
  private static final int NAMES = 4;
  private static final long DEADLINE_MS = 3500;
  private static final long RESPONSE_TIMEOUT_MS = 30_000;
  private static final long EFFECT_TIMEOUT_MS = 30_000;
  private static final Pattern SENT = Pattern.compile("v([0-9]+) = 1 AND mark = '(m[0-9]+)'");

  private final AtomicLong ids = new AtomicLong(0x9100);
  private final AtomicLong markers = new AtomicLong();

  /** By group, the number of the column v; below 0 while a change is not known to be in effect. */
  private final Map<Integer, Integer> columns = new TreeMap<>();

  private final Set<String> prepared = ConcurrentHashMap.newKeySet();
  private volatile boolean changesStopped;

  StatementLoad(ProcessCluster cluster, Audit audit, DisruptionTracker disruptions, long seed) {
    super(cluster, audit, disruptions, seed);
    for (int group = GROUP; group < GROUP + GROUPS; group++) {
      columns.put(group, 1);
    }
  }

  @Override
  String seedName() {
    return "StatementLoad";
  }

  @Override
  long paceMs() {
    return 40;
  }

  /** Reports a command of an engine to the audit if it runs a prepared statement. */
  static void onRun(Audit audit, String engine, Command command) {
    Matcher matcher = SENT.matcher(new String(command.statement(), StandardCharsets.UTF_8));
    if (matcher.find()) {
      audit.ran(engine, matcher.group(2));
      audit.preparedRan(matcher.group(2), engine, Long.parseLong(matcher.group(1)));
    }
  }

  private static int group(int name) {
    return GROUP + name % GROUPS;
  }

  private static boolean effectful(int name) {
    return name >= NAMES / 2;
  }

  @Override
  void once(String gateway, RandomGenerator chance) throws IOException {
    int name = chance.nextInt(NAMES);
    int drawn = chance.nextInt(100);
    if (!cluster.gateway(gateway).isRunning() || changesStopped) {
      return;
    }
    if (!prepared.contains("s" + name)) {
      prepare(gateway, name);
    } else if (drawn < 3) {
      change(gateway, group(name));
    } else if (drawn < 6) {
      prepare(gateway, name);
    } else {
      run(gateway, name);
    }
  }

  private void prepare(String gateway, int name) throws IOException {
    synchronized (columns) {
      int group = group(name);
      if (columns.get(group) < 0) {
        return;
      }
      String column = "v" + columns.get(group);
      String text =
          (effectful(name) ? "UPDATE air SET seen = 1 WHERE " : "SELECT * FROM air WHERE ")
              + column
              + " = 1 AND mark = $1";
      if (StatementsClient.prepare(
              cluster.client(gateway, RESPONSE_TIMEOUT_MS),
              "s" + name,
              text,
              group,
              group + ":air." + column,
              effectful(name))
          > 0) {
        prepared.add("s" + name);
      }
    }
  }

  /**
   * Announces a change and waits until it is in effect; if it does not learn that, the group is not
   * changed again.
   */
  private void change(String gateway, int group) throws IOException {
    synchronized (columns) {
      int column = columns.get(group);
      if (column < 0) {
        return;
      }
      columns.put(group, -column);
      String name = group + ":air.v";
      long before = version(group);
      StatementsClient.rename(
          cluster.client(gateway, RESPONSE_TIMEOUT_MS), group, name + column, name + (column + 1));
      long until = System.nanoTime() + EFFECT_TIMEOUT_MS * 1_000_000;
      while (System.nanoTime() < until && !changesStopped) {
        if (version(group) > before) {
          audit.schemaInEffect("g" + group, column + 1, System.nanoTime());
          columns.put(group, column + 1);
          return;
        }
        pause(50);
      }
    }
  }

  /** The highest schema version that any gateway reports; one seen in effect stays in effect. */
  private long version(int group) {
    long highest = -1;
    for (String name : cluster.names()) {
      try {
        highest =
            cluster.gateway(name).isRunning()
                ? Math.max(highest, StatementsClient.version(cluster.client(name, 2000), group))
                : highest;
      } catch (IOException e) {
        // Stopped or not running; another gateway knows.
      }
    }
    return highest;
  }

  private void run(String gateway, int name) throws IOException {
    String id = String.format("%016x", ids.incrementAndGet());
    String marker = "m" + markers.incrementAndGet();
    long sentAt = System.nanoTime();
    audit.submitted(id, marker, effectful(name));
    audit.runRequested(marker, gateway, "g" + group(name), sentAt);
    try {
      HttpEndpointClient.Reply reply =
          StatementsClient.run(
              cluster.client(gateway, RESPONSE_TIMEOUT_MS), "s" + name, id, marker, DEADLINE_MS);
      if (List.of(200, 500, 503).contains(reply.status())) {
        audit.answered(id, reply.status());
      } else if (List.of(404, 409).contains(reply.status())) {
        // Unknown here yet, or invalid: rejected, and not run.
        audit.answered(id, 503);
      } else {
        audit.violation(
            Rule.ONE_ANSWER,
            gateway + " answered " + id + " with " + reply.status() + " " + reply.body());
      }
    } catch (IOException e) {
      if (disruptions.disruptedSince(gateway, sentAt)) {
        audit.excused(id);
      }
      throw e;
    }
  }

  /** Begins no further changes, and stops waiting for the present one. */
  void stopChanges() {
    changesStopped = true;
  }

  /**
   * Waits until every gateway runs every statement under the schema that was last seen in effect.
   */
  void settle() {
    changesStopped = false;
    for (String gateway : cluster.names()) {
      for (int name = 0; name < NAMES; name++) {
        // A timeout per statement: the first run of a group only requests its lease.
        long until = System.nanoTime() + SETTLE_TIMEOUT_NANOS;
        String problem = "never tried";
        while (!problem.isEmpty() && prepared.contains("s" + name)) {
          problem = tryRun(gateway, name);
          if (!problem.isEmpty() && System.nanoTime() > until) {
            audit.violation(Rule.NOT_SETTLED, gateway + " runs s" + name + " no more: " + problem);
            return;
          }
          pause(100);
        }
      }
    }
  }

  private String tryRun(String gateway, int name) {
    String id = String.format("%016x", ids.incrementAndGet());
    String marker = "m" + markers.incrementAndGet();
    audit.submitted(id, marker, effectful(name));
    audit.runRequested(marker, gateway, "g" + group(name), System.nanoTime());
    try {
      HttpEndpointClient.Reply reply =
          StatementsClient.run(
              cluster.client(gateway, RESPONSE_TIMEOUT_MS), "s" + name, id, marker, DEADLINE_MS);
      audit.answered(id, reply.status() == 404 || reply.status() == 409 ? 503 : reply.status());
      return reply.status() == 200
          ? ""
          : reply.status()
              + " "
              + reply.body()
              + ", come back in "
              + reply.retryAfterMs()
              + " ms; schema "
              + cluster.client(gateway).get("/v1/schemas/" + group(name)).body();
    } catch (IOException e) {
      audit.excused(id);
      return e.toString();
    }
  }
}
