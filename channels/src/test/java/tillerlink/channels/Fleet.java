package tillerlink.channels;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;
import tillerlink.channels.entry.AppendRequest;
import tillerlink.channels.entry.AppendResult;
import tillerlink.cluster.KeyValueStore;
import tillerlink.cluster.MembershipView;
import tillerlink.cluster.Reachability;
import tillerlink.messages.channels.Dot;
import tillerlink.messages.channels.Kind;
import tillerlink.simulation.Fault;
import tillerlink.simulation.InMemoryKeyValueStore;
import tillerlink.simulation.SimulatedFleet;

/**
 * Gateways with channels in virtual time, and an audit from outside: it knows what was appended and
 * answered, and what readers of each gateway read over time, and nothing of what is inside.
 */
final class Fleet {
  static final long SECOND = 10_000;
  static final int ALL = 1 << 30;

  final Random random;
  final SimulatedFleet net;
  final List<String> names;
  final ChannelLogConfig config;
  final Map<String, Channels> running = new TreeMap<>();
  final Map<String, InMemoryKeyValueStore> disks = new HashMap<>();
  final Map<String, NavigableMap<String, byte[]>> copies = new HashMap<>();
  final List<String> log = new ArrayList<>();

  /** What was read as stable, by channel and place: whatever is read first holds for good. */
  final Map<String, TreeMap<Long, String>> stableRead = new TreeMap<>();

  /** Answered events, by name: their content. */
  final Map<String, String> answered = new TreeMap<>();

  final Map<String, String> texts = new HashMap<>();
  final List<String> violations = new ArrayList<>();
  int refused;

  /** Replaced where a test injects a fault. */
  Function<String, ChannelLogConfig> configOf;

  Function<String, RandomGenerator> randomOf;
  ToLongFunction<String> wallOf;

  Fleet(long seed, List<String> names, ChannelLogConfig config) {
    random = new Random(seed);
    net = new SimulatedFleet(random);
    this.names = names;
    this.config = config;
    configOf = name -> config;
    randomOf = name -> random;
    wallOf = net::wall;
  }

  private final class TestMembership implements MembershipView {
    final String self;

    TestMembership(String self) {
      this.self = self;
    }

    @Override
    public String self() {
      return self;
    }

    @Override
    public String site(String name) {
      return name.substring(0, 1);
    }

    @Override
    public List<String> names() {
      return names.stream().filter(name -> !name.equals(self)).sorted().toList();
    }

    @Override
    public Reachability reachability(String name) {
      return Reachability.REACHABLE;
    }
  }

  void startAll() {
    names.forEach(this::start);
  }

  /** Starts a gateway on its disk, an empty one if it has none. */
  void start(String name) {
    InMemoryKeyValueStore before = disks.get(name);
    InMemoryKeyValueStore disk =
        before == null ? new InMemoryKeyValueStore(net, 5) : before.reopen();
    start(name, disk);
  }

  void start(String name, InMemoryKeyValueStore disk) {
    disks.put(name, disk);
    Channels channels = create(name, disk);
    running.put(name, channels);
    net.start(name, channels);
  }

  Channels create(String name, KeyValueStore storage) {
    return new Channels(
        configOf.apply(name),
        new TestMembership(name),
        net.sender(name),
        storage,
        randomOf.apply(name),
        wallOf.applyAsLong(name),
        line -> log.add(name + ": " + line));
  }

  void kill(String name) {
    InMemoryKeyValueStore disk = disks.get(name);
    if (running.remove(name) != null) {
      net.kill(name);
      disk.crash(disk.pendingWrites() == 0 ? 0 : random.nextInt(disk.pendingWrites() + 1));
    }
  }

  /** Between those of one side and all the rest nothing gets through. */
  void cut(List<String> side) {
    for (String one : side) {
      for (String other : names) {
        if (!side.contains(other)) {
          net.between(one, other, Fault.CUT);
        }
      }
    }
  }

  void append(String name, String channel, AppendRequest request) {
    append(name, channel, request, dot -> {});
  }

  void append(String name, String channel, AppendRequest request, Consumer<Dot> taken) {
    Channels channels = running.get(name);
    if (channels == null) {
      return;
    }
    channels.append(
        net.now(),
        net.wall(name),
        channel,
        request,
        answer -> {
          if (answer instanceof AppendResult.Taken result && result.again()) {
            taken.accept(result.id());
          } else if (answer instanceof AppendResult.Taken result) {
            String content =
                channel + " " + request.kind() + " " + request.cue() + " " + request.text();
            String was = answered.put(result.id().text(), content);
            if (was != null && !was.equals(content)) {
              violations.add(result.id().text() + " stands for two contents");
            }
            texts.put(result.id().text(), name);
            taken.accept(result.id());
          } else {
            refused++;
          }
        });
    net.reschedule(name);
  }

  static AppendRequest cue(String cue, String text) {
    return new AppendRequest(Kind.CUE, cue, text, 0, "", null);
  }

  static String content(Page.Line line) {
    return line.entry().channel()
        + " "
        + line.entry().kind()
        + " "
        + line.entry().cue()
        + " "
        + line.entry().text();
  }

  /**
   * Reads all channels of one gateway, and compares what is stable with all that was read before.
   */
  void look(String name) {
    Channels channels = running.get(name);
    if (channels == null) {
      return;
    }
    for (String channel : channels.names()) {
      TreeMap<Long, String> known = stableRead.computeIfAbsent(channel, any -> new TreeMap<>());
      Page page = channels.read(channel, 0, ALL);
      for (Page.Line line : page.lines()) {
        String id = line.entry().dot().text();
        String what =
            id + (line.late() ? " late " : " ") + (line.repeat() ? "repeat " : "") + content(line);
        if (answered.containsKey(id) && !answered.get(id).equals(content(line))) {
          violations.add(id + " says otherwise at " + name);
        }
        if (line.stable()) {
          causes(page, line);
          String was = known.putIfAbsent(line.index(), what);
          if (was != null && !was.equals(what)) {
            violations.add(
                "stable "
                    + channel
                    + " "
                    + line.index()
                    + " was "
                    + was
                    + " and is "
                    + what
                    + " at "
                    + name);
          }
        }
      }
    }
  }

  /**
   * What a writer had seen stands before what it wrote, unless it came after that was agreed on.
   */
  private void causes(Page page, Page.Line line) {
    for (List<Dot> dots : List.of(line.entry().over(), line.entry().seen())) {
      for (Dot dot : dots) {
        if (dot.stamp() >= line.entry().stamp()) {
          violations.add(line.entry().dot().text() + " is stamped before what its writer had seen");
        }
      }
    }
    for (int i = (int) (line.index() - page.first()) + 1; i < page.lines().size(); i++) {
      Page.Line later = page.lines().get(i);
      if (line.entry().over().stream().anyMatch(later.entry().dot()::same) && !later.late()) {
        violations.add(line.entry().dot().text() + " stands before what its writer had seen");
      }
    }
  }

  void lookAll() {
    names.forEach(this::look);
  }

  /** At quiescence: all agree, nothing is provisional, nothing that was answered is missing. */
  void audit(Set<String> mayBeLost) {
    lookAll();
    List<String> all = null;
    for (String name : names) {
      List<String> here = new ArrayList<>();
      Channels channels = running.get(name);
      for (String channel : channels.names()) {
        Page page = channels.read(channel, 0, ALL);
        page.lines()
            .forEach(
                line ->
                    here.add(line.index() + " " + line.stable() + " " + line.entry().dot().text()));
        if (page.stable() != page.first() + page.lines().size()) {
          violations.add(
              name + " " + channel + " has provisional events at quiescence: " + channels.state());
        }
      }
      if (all != null && !all.equals(here) && channels.state().compacted() == 0) {
        violations.add(name + " has another log: " + here.size() + " against " + all.size());
      }
      all = all == null ? here : all;
    }
    List<String> missing = new ArrayList<>();
    for (String id : answered.keySet()) {
      boolean isThere = false;
      for (TreeMap<Long, String> channel : stableRead.values()) {
        isThere |= channel.values().stream().anyMatch(what -> what.startsWith(id + " "));
      }
      if (!isThere && !mayBeLost.contains(id)) {
        missing.add(id + " of " + texts.get(id));
      }
    }
    // What was compacted before anybody looked can only be counted.
    long count = running.get(names.get(0)).state().stable();
    long unseen = count - stableRead.values().stream().mapToLong(TreeMap::size).sum();
    if (missing.size() > unseen) {
      violations.add("answered and lost: " + missing);
    }
  }

  /** Audits when all is quiet and nothing may be lost, and fails on any violation so far. */
  void assertAuditPasses() {
    audit(Set.of());
    assertEquals(List.of(), violations);
  }

  /** Whether every gateway shows the same events, all stable. */
  boolean isSettled() {
    Set<String> all = new HashSet<>();
    for (String name : names) {
      StringBuilder here = new StringBuilder();
      Channels channels = running.get(name);
      for (String channel : channels.names()) {
        Page page = channels.read(channel, 0, ALL);
        if (page.stable() != page.first() + page.lines().size()) {
          return false;
        }
        page.lines().forEach(line -> here.append(line.entry().dot().text()).append(' '));
      }
      all.add(here.toString());
    }
    return all.size() == 1;
  }

  List<String> shuffled() {
    List<String> mixed = new ArrayList<>(names);
    Collections.shuffle(mixed, random);
    return mixed;
  }
}
