package tillerlink.members;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import tillerlink.cluster.ClusterComponent;
import tillerlink.cluster.Reachability;
import tillerlink.members.config.MembershipConfig;
import tillerlink.members.config.MembershipListener;
import tillerlink.simulation.SimulatedFleet;

/**
 * A fleet of members in virtual time. Hosts stand under their addresses; a member's name goes on
 * the envelope.
 */
public final class Play {
  public static final long MS = 10;
  public static final long SECOND = 10_000;

  /** One process. */
  public final class Process implements ClusterComponent, MembershipListener {
    public final Members members;
    public final String address;
    public final String name;
    boolean leaving;

    Process(String name, String address, List<String> seeds, long before) {
      this.name = name;
      this.address = address;
      members =
          new Members(
              new Identity("f", name, "site-" + name.charAt(0), address, seeds, before),
              periods,
              (to, body) -> fleet.sender(address).send(to, sealed(name, body)),
              new java.util.SplittableRandom(random.nextLong()),
              this,
              fleet.wall(address),
              makers);
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
      kept.merge(name, members.incarnation(name), Math::max);
    }

    @Override
    public long nextDueAt() {
      return members.nextDueAt();
    }

    @Override
    public void onPause(long now, long wall, long lasted) {
      members.onPause(now, wall, lasted);
    }

    @Override
    public void onReachabilityChanged(String other, Reachability was, Reachability is) {
      heard.accept(new Change(fleet.now(), name, other, was, is));
    }

    @Override
    public void onProcessReplaced(String other, long incarnation) {
      told.add(time() + " " + name + ": " + other + " is another process now");
    }

    @Override
    public void onNameLost() {
      told.add(time() + " " + address + " yields the name " + name);
    }

    @Override
    public void log(String words) {
      told.add(time() + " " + name + ": " + words);
    }
  }

  public record Change(long at, String by, String of, Reachability was, Reachability is) {
    @Override
    public String toString() {
      return String.format("%7.2f s  %s: %s %s -> %s", at / (double) SECOND, by, of, was, is);
    }
  }

  public final SimulatedFleet fleet;
  final Random random;
  final MembershipConfig periods;
  ComponentFactories makers = new ComponentFactories();
  public final Map<String, Process> up = new TreeMap<>();
  final Map<String, Long> kept = new TreeMap<>();
  public final List<Change> changes = new ArrayList<>();

  /** Is told of each change; keeps all if nothing else is said. */
  public Consumer<Change> heard = changes::add;

  final List<String> told = new ArrayList<>();

  public Play(long seed, MembershipConfig periods) {
    random = new Random(seed);
    fleet = new SimulatedFleet(new Random(seed + 1));
    this.periods = periods;
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
    return String.format("%7.2f s ", fleet.now() / (double) SECOND);
  }

  /** The address that a name has if nothing else is said. */
  public static String at(String name) {
    return "10.0.0." + name;
  }

  public Process start(String name, String... seeds) {
    return start(name, at(name), kept.getOrDefault(name, 0L), seeds);
  }

  public Process start(String name, String address, long before, String... seeds) {
    Process process = new Process(name, address, List.of(seeds), before);
    up.put(address, process);
    fleet.start(address, process);
    return process;
  }

  public void startAll(String... names) {
    for (String name : names) {
      start(name, at(names[0]), at(names[1 % names.length]));
    }
  }

  public void kill(String name) {
    up.remove(at(name));
    fleet.kill(at(name));
  }

  void leave(String name) {
    up.get(at(name)).leaving = true;
    up.get(at(name)).members.leave(fleet.now());
    fleet.reschedule(at(name));
  }

  Reachability reach(String by, String of) {
    return up.get(at(by)).members.reachability(of);
  }

  /** Whether all that are up hold each other, and no others, as reachable. */
  public boolean agreed() {
    for (Process one : up.values()) {
      if (!one.members.yielded() && !agrees(one)) {
        return false;
      }
    }
    return true;
  }

  private boolean agrees(Process one) {
    int reachable = 0;
    for (Process other : up.values()) {
      if (other != one && !other.members.yielded()) {
        reachable++;
        if (one.members.reachability(other.name) != Reachability.REACHABLE) {
          return false;
        }
      }
    }
    return one.members.names().stream()
            .filter(name -> one.members.reachability(name).isContactable())
            .count()
        == reachable;
  }

  /** Plays on until all agree; how long that took, or -1 if it was not so within that time. */
  public long untilAgreed(long most) {
    return untilAgreed(most, 100 * MS);
  }

  /** The same, looked at that often. */
  public long untilAgreed(long most, long every) {
    long start = fleet.now();
    while (fleet.now() - start <= most) {
      if (agreed()) {
        return fleet.now() - start;
      }
      fleet.playFor(every);
    }
    return -1;
  }
}
