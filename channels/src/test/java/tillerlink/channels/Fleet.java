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
 * A harness that runs gateways with channels in virtual time and audits them as black boxes. The
 * audit uses only the appends, their results, and what readers of each gateway read over time; it
 * does not look at internal state.
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
  final Map<String, NavigableMap<String, byte[]>> diskCopies = new HashMap<>();
  final List<String> log = new ArrayList<>();

  /**
   * The first description of each event that was read as stable, by channel and index. A later read
   * with another description is a violation, because stable events never change.
   */
  final Map<String, TreeMap<Long, String>> stableRead = new TreeMap<>();

  /** The contents of the successfully appended events, by identifier. */
  final Map<String, String> appended = new TreeMap<>();

  final Map<String, String> writers = new HashMap<>();
  final List<String> violations = new ArrayList<>();
  int refused;

  /**
   * The configuration of each gateway, by name. This function and the two after it are replaced by
   * tests that inject faults.
   */
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

  /** Starts a gateway on its disk, or on an empty disk if it has not run before. */
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

  /** Cuts all links between the gateways of one side and all other gateways. */
  void cut(List<String> side) {
    for (String member : side) {
      for (String other : names) {
        if (!side.contains(other)) {
          net.between(member, other, Fault.CUT);
        }
      }
    }
  }

  void append(String name, String channel, AppendRequest request) {
    append(name, channel, request, dot -> {});
  }

  void append(String name, String channel, AppendRequest request, Consumer<Dot> onAppended) {
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
            onAppended.accept(result.id());
          } else if (answer instanceof AppendResult.Taken result) {
            String content =
                channel + " " + request.kind() + " " + request.cue() + " " + request.text();
            String previous = appended.put(result.id().text(), content);
            if (previous != null && !previous.equals(content)) {
              violations.add(result.id().text() + " identifies two events with different contents");
            }
            writers.put(result.id().text(), name);
            onAppended.accept(result.id());
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
   * Reads all channels of one gateway and compares the stable events with those read before at any
   * gateway. Does nothing if the gateway is down.
   */
  void readAndCompare(String name) {
    Channels channels = running.get(name);
    if (channels == null) {
      return;
    }
    for (String channel : channels.names()) {
      TreeMap<Long, String> known =
          stableRead.computeIfAbsent(channel, channelName -> new TreeMap<>());
      Page page = channels.read(channel, 0, ALL);
      for (Page.Line line : page.lines()) {
        String id = line.entry().dot().text();
        String description =
            id + (line.late() ? " late " : " ") + (line.repeat() ? "repeat " : "") + content(line);
        if (appended.containsKey(id) && !appended.get(id).equals(content(line))) {
          violations.add(id + " has different content at " + name);
        }
        if (line.stable()) {
          checkCausalOrder(page, line);
          String previous = known.putIfAbsent(line.index(), description);
          if (previous != null && !previous.equals(description)) {
            violations.add(
                "stable "
                    + channel
                    + " "
                    + line.index()
                    + " was "
                    + previous
                    + " and is "
                    + description
                    + " at "
                    + name);
          }
        }
      }
    }
  }

  /**
   * Checks that the events a writer had seen precede the event that it wrote. A seen event that
   * came late is exempt, because it became stable only after the order of the others was decided.
   */
  private void checkCausalOrder(Page page, Page.Line line) {
    for (List<Dot> dots : List.of(line.entry().over(), line.entry().seen())) {
      for (Dot dot : dots) {
        if (dot.stamp() >= line.entry().stamp()) {
          violations.add(
              line.entry().dot().text() + " has a stamp not above a stamp its writer had seen");
        }
      }
    }
    for (int i = (int) (line.index() - page.first()) + 1; i < page.lines().size(); i++) {
      Page.Line later = page.lines().get(i);
      if (line.entry().over().stream().anyMatch(later.entry().dot()::same) && !later.late()) {
        violations.add(line.entry().dot().text() + " precedes an event that its writer had seen");
      }
    }
  }

  void readAll() {
    names.forEach(this::readAndCompare);
  }

  /**
   * Checks the fleet at quiescence: all logs are equal, no event is provisional, and no
   * successfully appended event is missing.
   *
   * @param mayBeLost the identifiers of events that may be missing, because their only disk was
   *     lost
   */
  void audit(Set<String> mayBeLost) {
    readAll();
    List<String> expectedLog = null;
    for (String name : names) {
      List<String> gatewayLog = new ArrayList<>();
      Channels channels = running.get(name);
      for (String channel : channels.names()) {
        Page page = channels.read(channel, 0, ALL);
        page.lines()
            .forEach(
                line ->
                    gatewayLog.add(
                        line.index() + " " + line.stable() + " " + line.entry().dot().text()));
        if (page.stable() != page.first() + page.lines().size()) {
          violations.add(
              name + " " + channel + " has provisional events at quiescence: " + channels.state());
        }
      }
      if (expectedLog != null
          && !expectedLog.equals(gatewayLog)
          && channels.state().compacted() == 0) {
        violations.add(
            name
                + " has a different log: events: "
                + gatewayLog.size()
                + ", expected "
                + expectedLog.size());
      }
      expectedLog = expectedLog == null ? gatewayLog : expectedLog;
    }
    List<String> missing = new ArrayList<>();
    for (String id : appended.keySet()) {
      boolean isStable = false;
      for (TreeMap<Long, String> channel : stableRead.values()) {
        isStable |=
            channel.values().stream().anyMatch(description -> description.startsWith(id + " "));
      }
      if (!isStable && !mayBeLost.contains(id)) {
        missing.add(id + " of " + writers.get(id));
      }
    }
    // Events that were compacted before any read have no identifiers here and are only counted.
    long count = running.get(names.get(0)).state().stable();
    long unseen = count - stableRead.values().stream().mapToLong(TreeMap::size).sum();
    if (missing.size() > unseen) {
      violations.add("successfully appended events are missing: " + missing);
    }
  }

  /**
   * Audits the fleet at quiescence, with no event allowed to be missing, and fails on any violation
   * found so far.
   */
  void assertAuditPasses() {
    audit(Set.of());
    assertEquals(List.of(), violations);
  }

  /** Returns true if every gateway returns the same events and all of them are stable. */
  boolean isSettled() {
    Set<String> distinctLogs = new HashSet<>();
    for (String name : names) {
      StringBuilder identifiers = new StringBuilder();
      Channels channels = running.get(name);
      for (String channel : channels.names()) {
        Page page = channels.read(channel, 0, ALL);
        if (page.stable() != page.first() + page.lines().size()) {
          return false;
        }
        page.lines().forEach(line -> identifiers.append(line.entry().dot().text()).append(' '));
      }
      distinctLogs.add(identifiers.toString());
    }
    return distinctLogs.size() == 1;
  }

  List<String> shuffled() {
    List<String> shuffledNames = new ArrayList<>(names);
    Collections.shuffle(shuffledNames, random);
    return shuffledNames;
  }
}
