package tillerlink.members;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import tillerlink.cluster.ClusterComponent;
import tillerlink.cluster.Reachability;
import tillerlink.members.config.MembershipConfig;
import tillerlink.members.config.MembershipListener;
import tillerlink.simulation.Fault;
import tillerlink.simulation.SimulatedFleet;

/**
 * A simulated fleet of members. A host of the simulation is named by its address; the name of the
 * sending member is put before each message, as the envelope would carry it.
 */
public final class MemberFleet {
  /** A millisecond of virtual time. */
  public static final long MS = 10;

  /** A second of virtual time. */
  public static final long SECOND = 1000 * MS;

  /** One process of a member. */
  public final class MemberProcess implements ClusterComponent, MembershipListener {
    public final Members members;
    public final String address;
    public final String name;
    private boolean leaving;

    MemberProcess(String name, String address, List<String> seeds, long persistedIncarnation) {
      this.name = name;
      this.address = address;
      members =
          new Members(
              new Identity(
                  "f", name, "site-" + name.charAt(0), address, seeds, persistedIncarnation),
              config,
              (to, body) -> network.sender(address).send(to, sealed(name, body)),
              new SplittableRandom(random.nextLong()),
              this,
              network.wall(address),
              factories);
    }

    /** Whether the process was told to leave. */
    boolean isLeaving() {
      return leaving;
    }

    /** Whether the process is a member, as it did not yield its name. */
    boolean keepsName() {
      return !members.yielded();
    }

    @Override
    public void onMessage(long now, long wall, String from, byte[] body) {
      int length = body[0];
      members.onMessage(
          now,
          wall,
          new String(body, 1, length, StandardCharsets.UTF_8),
          Arrays.copyOfRange(body, 1 + length, body.length));
    }

    @Override
    public void tick(long now, long wall) {
      members.tick(now, wall);
      persistedIncarnations.merge(name, members.incarnation(name), Math::max);
    }

    @Override
    public long nextDueAt() {
      return members.nextDueAt();
    }

    @Override
    public void onPause(long now, long wall, long duration) {
      members.onPause(now, wall, duration);
    }

    @Override
    public void onReachabilityChanged(String other, Reachability previous, Reachability current) {
      observer.accept(new Change(network.now(), name, other, previous, current));
    }

    @Override
    public void onProcessReplaced(String other, long incarnation) {
      notices.add(time() + " " + name + ": " + other + " is another process now");
    }

    @Override
    public void onNameLost() {
      notices.add(time() + " " + address + " yields the name " + name);
    }

    @Override
    public void log(String line) {
      notices.add(time() + " " + name + ": " + line);
    }
  }

  /** One member sees another in another state of reachability than before. */
  public record Change(
      long at, String observer, String member, Reachability previous, Reachability current) {
    @Override
    public String toString() {
      return String.format(
          "%7.2f s  %s: %s %s -> %s", at / (double) SECOND, observer, member, previous, current);
    }
  }

  public final SimulatedFleet network;
  private final Random random;
  private final MembershipConfig config;
  private final ComponentFactories factories;
  public final Map<String, MemberProcess> running = new TreeMap<>();
  final Map<String, Long> persistedIncarnations = new TreeMap<>();
  public final List<Change> changes = new ArrayList<>();
  private Consumer<Change> observer = changes::add;

  /** Log lines and other notifications. */
  final List<String> notices = new ArrayList<>();

  public MemberFleet(long seed, MembershipConfig config) {
    this(seed, config, new ComponentFactories());
  }

  MemberFleet(long seed, MembershipConfig config, ComponentFactories factories) {
    random = new Random(seed);
    network = new SimulatedFleet(new Random(seed + 1));
    this.config = config;
    this.factories = factories;
  }

  /** Sets who is notified of each change, in place of the list of all changes. */
  public void observe(Consumer<Change> newObserver) {
    observer = newObserver;
  }

  private static byte[] sealed(String name, byte[] body) {
    byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
    byte[] all = new byte[1 + bytes.length + body.length];
    all[0] = (byte) bytes.length;
    System.arraycopy(bytes, 0, all, 1, bytes.length);
    System.arraycopy(body, 0, all, 1 + bytes.length, body.length);
    return all;
  }

  String time() {
    return String.format("%7.2f s ", network.now() / (double) SECOND);
  }

  /** The default address of a member. */
  public static String address(String name) {
    return "10.0.0." + name;
  }

  public MemberProcess start(String name, String... seeds) {
    return start(name, address(name), persistedIncarnations.getOrDefault(name, 0L), seeds);
  }

  public MemberProcess start(
      String name, String address, long persistedIncarnation, String... seeds) {
    MemberProcess process = new MemberProcess(name, address, List.of(seeds), persistedIncarnation);
    running.put(address, process);
    network.start(address, process);
    return process;
  }

  /** Starts members whose seeds are the first two of them. */
  public void startAll(String... names) {
    for (String name : names) {
      start(name, address(names[0]), address(names[1 % names.length]));
    }
  }

  public void kill(String name) {
    running.remove(address(name));
    network.kill(address(name));
  }

  void leave(String name) {
    running.get(address(name)).leaving = true;
    running.get(address(name)).members.leave(network.now());
    network.reschedule(address(name));
  }

  Reachability reachability(String observingName, String name) {
    return running.get(address(observingName)).members.reachability(name);
  }

  /** Cuts both directions of the links between two sides. */
  void cut(List<String> side, List<String> otherSide) {
    for (String one : side) {
      for (String other : otherSide) {
        network.between(address(one), address(other), Fault.CUT);
      }
    }
  }

  /** Whether all running processes see each other, and no others, as reachable. */
  public boolean hasConverged() {
    for (MemberProcess process : running.values()) {
      if (process.keepsName() && !seesExactlyTheOthers(process)) {
        return false;
      }
    }
    return true;
  }

  private boolean seesExactlyTheOthers(MemberProcess process) {
    int others = 0;
    for (MemberProcess other : running.values()) {
      if (other != process && other.keepsName()) {
        others++;
        if (process.members.reachability(other.name) != Reachability.REACHABLE) {
          return false;
        }
      }
    }
    return process.members.names().stream()
            .filter(name -> process.members.reachability(name).isContactable())
            .count()
        == others;
  }

  /** How many running processes of a name are members. */
  long processesKeeping(String name) {
    return running.values().stream()
        .filter(process -> process.name.equals(name) && process.keepsName())
        .count();
  }

  /**
   * Runs the simulation until the fleet has converged.
   *
   * @return how long that took; -1 if it did not within the given time
   */
  public long runUntilConverged(long max) {
    return runUntilConverged(max, 100 * MS);
  }

  /** The same, checked at other intervals. */
  public long runUntilConverged(long max, long interval) {
    long start = network.now();
    while (network.now() - start <= max) {
      if (hasConverged()) {
        return network.now() - start;
      }
      network.playFor(interval);
    }
    return -1;
  }
}
