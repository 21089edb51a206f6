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
 * A load of prepared statements, each prepared at one gateway and run at all, while the schemas of
 * their groups change. Each change renames a column that the statements use, from v1 to v2 and so
 * on, so that the text that an engine receives shows under which schema it was prepared.
 */
final class StatementLoad extends Load {
  private static final long SETTLE_TIMEOUT_NANOS = 60_000_000_000L;
  private static final int FIRST_GROUP = 17;
  private static final int GROUP_COUNT = 2;
  private static final int STATEMENT_COUNT = 4;
  private static final long DEADLINE_MS = 3500;
  private static final long RESPONSE_TIMEOUT_MS = 30_000;
  private static final long EFFECT_TIMEOUT_MS = 30_000;
  private static final Pattern PREPARED_TEXT =
      Pattern.compile("v([0-9]+) = 1 AND mark = '(m[0-9]+)'");

  private final AtomicLong ids = new AtomicLong(0x9100);
  private final AtomicLong markers = new AtomicLong();

  /** The number of column v by group; negated while a change is not known to be in effect. */
  private final Map<Integer, Integer> columns = new TreeMap<>();

  private final Set<String> prepared = ConcurrentHashMap.newKeySet();
  private volatile boolean changesStopped;

  StatementLoad(ProcessCluster cluster, Audit audit, DisruptionTracker disruptions, long seed) {
    super(cluster, audit, disruptions, seed);
    for (int group = FIRST_GROUP; group < FIRST_GROUP + GROUP_COUNT; group++) {
      columns.put(group, 1);
    }
  }

  @Override
  String seedName() {
    return "StatementLoad";
  }

  @Override
  long meanPauseMs() {
    return 40;
  }

  /** Reports a command that an engine runs to the audit if it is a prepared statement. */
  static void onRun(Audit audit, String engine, Command command) {
    Matcher matcher =
        PREPARED_TEXT.matcher(new String(command.statement(), StandardCharsets.UTF_8));
    if (matcher.find()) {
      audit.ran(engine, matcher.group(2));
      audit.preparedRan(matcher.group(2), engine, Long.parseLong(matcher.group(1)));
    }
  }

  private static int group(int name) {
    return FIRST_GROUP + name % GROUP_COUNT;
  }

  private static boolean effectful(int name) {
    return name >= STATEMENT_COUNT / 2;
  }

  @Override
  void sendOne(String gateway, RandomGenerator random) throws IOException {
    int name = random.nextInt(STATEMENT_COUNT);
    int draw = random.nextInt(100);
    if (!cluster.gateway(gateway).isRunning() || changesStopped) {
      return;
    }
    if (!prepared.contains("s" + name)) {
      prepare(gateway, name);
    } else if (draw < 3) {
      change(gateway, group(name));
    } else if (draw < 6) {
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
   * Announces a schema change and waits until it is in effect. If that is not observed in time, the
   * group is not changed again, because its column is unknown.
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
      long deadline = System.nanoTime() + EFFECT_TIMEOUT_MS * 1_000_000;
      while (System.nanoTime() < deadline && !changesStopped) {
        if (version(group) > before) {
          audit.schemaInEffect("g" + group, column + 1, System.nanoTime());
          columns.put(group, column + 1);
          return;
        }
        pause(50);
      }
    }
  }

  /**
   * Returns the highest schema version that any gateway reports, or -1. One report is enough,
   * because a version that was in effect is never withdrawn.
   */
  private long version(int group) {
    long highest = -1;
    for (String name : cluster.names()) {
      try {
        highest =
            cluster.gateway(name).isRunning()
                ? Math.max(highest, StatementsClient.version(cluster.client(name, 2000), group))
                : highest;
      } catch (IOException e) {
        // The gateway is stopped or not running; another one reports the version.
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
        // The statement is not yet known at this gateway, or invalid: rejected without a run.
        audit.answered(id, 503);
      } else {
        audit.violation(
            Rule.ONE_ANSWER,
            gateway
                + " responded to "
                + id
                + " with unexpected status "
                + reply.status()
                + " "
                + reply.body());
      }
    } catch (IOException e) {
      if (disruptions.disruptedSince(gateway, sentAt)) {
        audit.excused(id);
      }
      throw e;
    }
  }

  /** Stops the load: no further requests or changes are sent, and no change is waited for. */
  void stopChanges() {
    changesStopped = true;
  }

  /**
   * Waits until every prepared statement runs at every gateway. Adds a violation, and stops, if one
   * does not run within {@value #SETTLE_TIMEOUT_NANOS} ns.
   */
  void settle() {
    changesStopped = false;
    for (String gateway : cluster.names()) {
      for (int name = 0; name < STATEMENT_COUNT; name++) {
        // Each statement has its own timeout, because the first run of a group only requests its
        // lease.
        long deadline = System.nanoTime() + SETTLE_TIMEOUT_NANOS;
        String problem = "not tried";
        while (!problem.isEmpty() && prepared.contains("s" + name)) {
          problem = tryRun(gateway, name);
          if (!problem.isEmpty() && System.nanoTime() > deadline) {
            audit.violation(Rule.NOT_SETTLED, gateway + " does not run s" + name + ": " + problem);
            return;
          }
          pause(100);
        }
      }
    }
  }

  /** Runs a statement once; returns the error, or an empty text if it ran. */
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
              + ", retry after "
              + reply.retryAfterMs()
              + " ms; schema "
              + cluster.client(gateway).get("/v1/schemas/" + group(name)).body();
    } catch (IOException e) {
      audit.excused(id);
      return e.toString();
    }
  }
}
