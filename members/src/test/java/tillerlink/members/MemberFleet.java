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
 * A simulated fleet of members. The simulation identifies a host by the address of its member. Each
 * message is preceded by the name of the sending member, which the envelope contains in production.
 */
public final class MemberFleet {
  /** A millisecond of virtual time, in tenths of a millisecond. */
  public static final long MS = 10;

  /** A second of virtual time, in tenths of a millisecond. */
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
              (to, body) -> network.sender(address).send(to, withSenderName(name, body)),
              new SplittableRandom(random.nextLong()),
              this,
              network.wall(address),
              factories);
    }

    /** Returns whether {@link MemberFleet#leave} was called for this process. */
    boolean isLeaving() {
      return leaving;
    }

    /** Returns whether the process is still a member, because it did not yield its name. */
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

  /**
   * A change of a member's reachability as seen by another member.
   *
   * @param at when the change was observed, in tenths of a millisecond
   * @param observer the name of the observing member
   * @param member the name of the observed member
   */
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

  /** Log lines and notifications other than reachability changes, in the order of arrival. */
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

  /** Sets the consumer of changes, which replaces the recording in {@link #changes}. */
  public void observe(Consumer<Change> newObserver) {
    observer = newObserver;
  }

  private static byte[] withSenderName(String name, byte[] body) {
    byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
    byte[] message = new byte[1 + bytes.length + body.length];
    message[0] = (byte) bytes.length;
    System.arraycopy(bytes, 0, message, 1, bytes.length);
    System.arraycopy(body, 0, message, 1 + bytes.length, body.length);
    return message;
  }

  String time() {
    return String.format("%7.2f s ", network.now() / (double) SECOND);
  }

  /** Returns the default address of a member. */
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

  /** Starts members that have the first two of them as seeds. */
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

  /** Cuts both directions of all links between two groups of members. */
  void cut(List<String> side, List<String> otherSide) {
    for (String one : side) {
      for (String other : otherSide) {
        network.between(address(one), address(other), Fault.CUT);
      }
    }
  }

  /**
   * Returns whether all running processes that keep their names see each other as reachable, and
   * see no other members as contactable.
   */
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

  /** Returns the number of running processes with a name that have not yielded it. */
  long processesKeeping(String name) {
    return running.values().stream()
        .filter(process -> process.name.equals(name) && process.keepsName())
        .count();
  }

  /**
   * Runs the simulation until the fleet has converged, checking every 100 ms of virtual time.
   *
   * @param max the maximum time to run, in tenths of a millisecond
   * @return the time to convergence, in tenths of a millisecond; -1 if it exceeds the maximum
   */
  public long runUntilConverged(long max) {
    return runUntilConverged(max, 100 * MS);
  }

  /**
   * Runs the simulation until the fleet has converged.
   *
   * @param max the maximum time to run, in tenths of a millisecond
   * @param interval the time between two checks, in tenths of a millisecond
   * @return the time to convergence, in tenths of a millisecond; -1 if it exceeds the maximum
   */
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
