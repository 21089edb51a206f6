package tillerlink.peering.together;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import tillerlink.channels.Page;
import tillerlink.channels.entry.AppendRequest;
import tillerlink.channels.entry.AppendResult;
import tillerlink.cluster.Reachability;
import tillerlink.messages.channels.Kind;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Definition;
import tillerlink.messages.statements.ParameterType;
import tillerlink.messages.statements.RunEffect;
import tillerlink.simulation.Fault;
import tillerlink.simulation.InMemoryKeyValueStore;
import tillerlink.simulation.Seeds;
import tillerlink.simulation.SimulatedFleet;
import tillerlink.statements.catalog.Snapshots;
import tillerlink.statements.run.Permission;

/**
 * All three parts on the same hosts: load on each, one partition, perhaps a pause or a kill in it;
 * then all agree.
 */
final class Story implements Seeds.Seeded {
  private static final long SECOND = 10_000;
  private static final int AGREED_WITHIN_SECONDS = 120;
  private static final List<String> ALL = List.of("n1", "s1", "w1", "w2");
  private static final String CHANNEL = "news";

  private final Random random;
  private final SimulatedFleet fleet;
  private final Map<String, Host> up = new TreeMap<>();
  private final Map<String, InMemoryKeyValueStore> disks = new TreeMap<>();
  private final List<String> told = new ArrayList<>();
  private final List<String> wrong = new ArrayList<>();
  private final Map<Long, String> stable = new TreeMap<>();
  private final Set<String> answered = new HashSet<>();
  private final Map<Integer, Long> newest = new TreeMap<>();
  private long runs;
  private long rejected;
  private long agreedAfter;

  Story(long seed) {
    random = new Random(seed);
    fleet = new SimulatedFleet(new Random(seed + 1));
  }

  private void say(String words) {
    told.add(fleet.now() / 10 + " ms: " + words);
  }

  private String any() {
    return ALL.get(random.nextInt(ALL.size()));
  }

  private void start(String name) {
    InMemoryKeyValueStore was = disks.get(name);
    InMemoryKeyValueStore disk = was == null ? new InMemoryKeyValueStore(fleet, 5) : was.reopen();
    disks.put(name, disk);
    Host host = new Host(name, fleet, disk, random, this::sees);
    up.put(name, host);
    fleet.start(name, host);
  }

  private void kill(String name) {
    say("kill " + name);
    up.remove(name).gone();
    fleet.kill(name);
    InMemoryKeyValueStore disk = disks.get(name);
    disk.crash(disk.pendingWrites() == 0 ? 0 : random.nextInt(disk.pendingWrites() + 1));
  }

  /** Which changes could be seen in effect anywhere. */
  private void sees() {
    up.values()
        .forEach(
            host ->
                host.statements
                    .catalog()
                    .versions()
                    .forEach((group, version) -> newest.merge(group, version, Math::max)));
  }

  // ---- load ----

  private void load(int rounds) {
    for (int i = 0; i < rounds; i++) {
      append(any(), i);
      ALL.forEach(this::run);
      fleet.playFor(500 + random.nextInt(5_000));
      look(any());
    }
  }

  private void append(String name, int n) {
    if (up.containsKey(name)) {
      AppendRequest draft =
          new AppendRequest(Kind.CUE, "c" + random.nextInt(4), "t" + n, 0, "", null);
      up.get(name)
          .channels
          .append(
              fleet.now(),
              fleet.wall(name),
              CHANNEL,
              draft,
              answer -> {
                if (answer instanceof AppendResult.Taken taken) {
                  answered.add(taken.id().text());
                }
              });
      fleet.reschedule(name);
    }
  }

  private void run(String name) {
    Host host = up.get(name);
    if (host == null || paused.contains(name)) {
      return;
    }
    host.statements
        .lookUp("q")
        .ifPresent(
            prepared -> {
              if (host.statements.checkRun(fleet.now(), prepared) instanceof Permission.Granted) {
                runs++;
                prepared
                    .versions()
                    .forEach(
                        (group, version) -> {
                          if (version < newest.getOrDefault(group, 1L)) {
                            wrong.add(
                                fleet.now() / 10
                                    + " ms: "
                                    + name
                                    + " runs under version "
                                    + version
                                    + " of group "
                                    + group);
                          }
                        });
              } else {
                rejected++;
              }
            });
    fleet.reschedule(name);
  }

  private final Set<String> paused = new HashSet<>();

  private Page page(String name) {
    return up.get(name).channels.read(CHANNEL, 0, 1 << 30);
  }

  /** What was told as stable once is so for good. */
  private void look(String name) {
    if (up.containsKey(name) && up.get(name).channels.names().contains(CHANNEL)) {
      page(name).lines().stream()
          .filter(Page.Line::stable)
          .forEach(
              line -> {
                String is = line.entry().dot().text() + " " + line.entry().text();
                String was = stable.putIfAbsent(line.index(), is);
                if (was != null && !was.equals(is)) {
                  wrong.add(
                      "stable " + line.index() + " was " + was + " and is " + is + " at " + name);
                }
              });
    }
  }

  // ---- what befalls them ----

  @Override
  public String play() {
    ALL.forEach(this::start);
    fleet.playFor(3 * SECOND);
    Definition definition =
        new Definition(
            "q",
            "select 1 from orders_17.orders where city = $1",
            List.of(ParameterType.TEXT),
            List.of(17),
            List.of("17:orders.city"),
            "dash",
            RunEffect.PURE);
    up.get(any())
        .statements
        .prepare(fleet.now(), definition, outcome -> say("prepared: " + outcome));
    fleet.playFor(2 * SECOND);
    load(3);
    partition();
    announce();
    load(3);
    befalls(any());
    // Some partitions last until the others are given up, some don't.
    fleet.playFor(random.nextInt(4) * 8 * SECOND);
    load(4);
    heal();
    for (int i = 0; i < AGREED_WITHIN_SECONDS && !agree(); i++) {
      fleet.playFor(SECOND);
      agreedAfter++;
      ALL.forEach(this::look);
    }
    ALL.forEach(this::run);
    return verdict();
  }

  private void partition() {
    List<String> side = new ArrayList<>(List.of(any()));
    if (random.nextBoolean()) {
      side.add(any());
    }
    say("cut off " + side);
    for (String one : side) {
      ALL.stream()
          .filter(other -> !side.contains(other))
          .forEach(other -> fleet.between(one, other, Fault.CUT));
    }
  }

  private void announce() {
    String at = any();
    say("announce a change at " + at);
    up.get(at)
        .statements
        .announce(
            fleet.now(),
            new Change(List.of(17), List.of(), List.of(), new TreeMap<>()),
            outcome -> say("announced: " + outcome));
    fleet.reschedule(at);
  }

  private void befalls(String name) {
    switch (random.nextInt(3)) {
      case 0 -> kill(name);
      case 1 -> {
        say("pause " + name);
        paused.add(name);
        fleet.pause(name);
      }
      default -> say("nothing else");
    }
  }

  private void heal() {
    say("all heals");
    fleet.heal();
    for (String name : ALL) {
      if (!up.containsKey(name)) {
        start(name);
      }
      fleet.resume(name);
    }
    paused.clear();
  }

  // ---- the end ----

  /** Why they do not agree yet, or nothing. */
  private String apart() {
    Set<String> logs = new HashSet<>();
    Set<String> catalogs = new HashSet<>();
    for (String name : ALL) {
      Host host = up.get(name);
      for (String other : ALL) {
        if (!other.equals(name) && host.members.reachability(other) != Reachability.REACHABLE) {
          return name + " holds " + other + " as " + host.members.reachability(other);
        }
      }
      Page page = page(name);
      if (page.stable() != page.first() + page.lines().size()) {
        return name + " has provisional events";
      }
      logs.add(page.lines().stream().map(line -> line.entry().dot().text()).toList().toString());
      catalogs.add(
          new String(
              Snapshots.write(host.statements.catalog()),
              java.nio.charset.StandardCharsets.ISO_8859_1));
      if (!host.statements.isIdle() || !host.statements.catalog().waiting().isEmpty()) {
        return name + " has something outstanding among statements";
      }
    }
    return logs.size() > 1 ? "logs differ" : catalogs.size() > 1 ? "catalogs differ" : "";
  }

  private boolean agree() {
    return apart().isEmpty();
  }

  private String verdict() {
    Set<String> there = new HashSet<>();
    page("n1").lines().forEach(line -> there.add(line.entry().dot().text()));
    if (!there.containsAll(answered)) {
      wrong.add(
          "answered and lost: "
              + answered.stream().filter(id -> !there.contains(id)).sorted().toList());
    }
    if (!agree()) {
      wrong.add("no agreement in " + AGREED_WITHIN_SECONDS + " s: " + apart());
    }
    return wrong.isEmpty() ? null : wrong.subList(0, Math.min(3, wrong.size())).toString();
  }

  @Override
  public String trace() {
    return String.join("\n", told);
  }

  @Override
  public long[] sums() {
    return new long[] {
      answered.size(), runs, rejected, newest.getOrDefault(17, 1L) - 1, agreedAfter
    };
  }
}
