package tillerlink.faultinjection.play;

import java.io.IOException;
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
import tillerlink.faultinjection.client.Statements;
import tillerlink.faultinjection.harness.ProcessCluster;

/**
 * Statements that are prepared at one gateway and run at all, while the schemas of their groups
 * change: each change renames a column that the text names, from v1 to v2 and so on, so that what
 * an engine is sent tells under which schema it was prepared.
 */
final class StatementLoad extends Load {
  private static final long SETTLED_WITHIN_NANOS = 60_000_000_000L;
  private static final int GROUP = 17;
  private static final int GROUPS = 2;
  private static final int NAMES = 4;
  private static final long DEADLINE_MS = 3500;
  private static final long PATIENCE_MS = 30_000;
  private static final long EFFECT_MS = 30_000;
  private static final Pattern SENT = Pattern.compile("v([0-9]+) = 1 AND mark = '(m[0-9]+)'");

  private final AtomicLong ids = new AtomicLong(0x9100);
  private final AtomicLong marks = new AtomicLong();

  /** By group, what v stands at; only whoever holds the lock prepares or changes. */
  private final Map<Integer, Integer> columns = new TreeMap<>();

  private final Set<String> prepared = ConcurrentHashMap.newKeySet();
  private volatile boolean ending;

  StatementLoad(ProcessCluster rig, Audit audit, Disturbed disturbed, long seed) {
    super(rig, audit, disturbed, seed);
    for (int group = GROUP; group < GROUP + GROUPS; group++) {
      columns.put(group, 1);
    }
  }

  @Override
  long paceMs() {
    return 40;
  }

  /** What an engine was sent: told to the audit if it is a prepared statement. */
  static void sent(Audit audit, String engine, Command command) {
    Matcher matcher =
        SENT.matcher(new String(command.statement(), java.nio.charset.StandardCharsets.UTF_8));
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
    if (!rig.gateway(gateway).isRunning() || ending) {
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
      if (Statements.prepare(
              rig.client(gateway, PATIENCE_MS),
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
   * Announces a change and waits until it is in effect; if that is not heard of, the group changes
   * no more.
   */
  private void change(String gateway, int group) throws IOException {
    synchronized (columns) {
      int at = columns.get(group);
      if (at < 0) {
        return;
      }
      columns.put(group, -at);
      String name = group + ":air.v";
      long before = version(group);
      Statements.rename(rig.client(gateway, PATIENCE_MS), group, name + at, name + (at + 1));
      long until = System.nanoTime() + EFFECT_MS * 1_000_000;
      while (System.nanoTime() < until && !ending) {
        if (version(group) > before) {
          audit.effect("g" + group, at + 1, System.nanoTime());
          columns.put(group, at + 1);
          return;
        }
        pause(50);
      }
    }
  }

  /** The highest version that any gateway tells: what one has seen in effect is so for good. */
  private long version(int group) {
    long highest = -1;
    for (String name : rig.names()) {
      try {
        highest =
            rig.gateway(name).isRunning()
                ? Math.max(highest, Statements.version(rig.client(name, 2000), group))
                : highest;
      } catch (IOException e) {
        // Stopped a moment ago, or not there; another knows.
      }
    }
    return highest;
  }

  private void run(String gateway, int name) throws IOException {
    String id = String.format("%016x", ids.incrementAndGet());
    String mark = "m" + marks.incrementAndGet();
    long began = System.nanoTime();
    audit.handedIn(id, mark, effectful(name));
    audit.runAsked(mark, gateway, "g" + group(name), began);
    try {
      HttpEndpointClient.Reply reply =
          Statements.run(rig.client(gateway, PATIENCE_MS), "s" + name, id, mark, DEADLINE_MS);
      if (List.of(200, 500, 503).contains(reply.status())) {
        audit.answered(id, reply.status());
      } else if (List.of(404, 409).contains(reply.status())) {
        // Not known here yet, or invalid: rejected, and not run.
        audit.answered(id, 503);
      } else {
        audit.broken(
            Rule.ONE_ANSWER,
            gateway + " answered " + id + " with " + reply.status() + " " + reply.body());
      }
    } catch (IOException e) {
      if (disturbed.since(gateway, began)) {
        audit.excused(id);
      }
      throw e;
    }
  }

  /** No more changes are begun or waited for. */
  void ending() {
    ending = true;
  }

  /**
   * Waits until every gateway runs every statement, and runs it under the schema that was last seen
   * in effect.
   */
  void settle() {
    ending = false;
    for (String gateway : rig.names()) {
      for (int name = 0; name < NAMES; name++) {
        // Of its own: the first run of a group only asks for its lease, so one try tells nothing.
        long until = System.nanoTime() + SETTLED_WITHIN_NANOS;
        String trouble = "never tried";
        while (!trouble.isEmpty() && prepared.contains("s" + name)) {
          trouble = tried(gateway, name);
          if (!trouble.isEmpty() && System.nanoTime() > until) {
            audit.broken(Rule.NOT_SETTLED, gateway + " runs s" + name + " no more: " + trouble);
            return;
          }
          pause(100);
        }
      }
    }
  }

  private String tried(String gateway, int name) {
    String id = String.format("%016x", ids.incrementAndGet());
    String mark = "m" + marks.incrementAndGet();
    audit.handedIn(id, mark, effectful(name));
    audit.runAsked(mark, gateway, "g" + group(name), System.nanoTime());
    try {
      HttpEndpointClient.Reply reply =
          Statements.run(rig.client(gateway, PATIENCE_MS), "s" + name, id, mark, DEADLINE_MS);
      audit.answered(id, reply.status() == 404 || reply.status() == 409 ? 503 : reply.status());
      return reply.status() == 200
          ? ""
          : reply.status()
              + " "
              + reply.body()
              + ", come back in "
              + reply.retryAfterMs()
              + " ms; schema "
              + rig.client(gateway).get("/v1/schemas/" + group(name)).body();
    } catch (IOException e) {
      audit.excused(id);
      return e.toString();
    }
  }
}
