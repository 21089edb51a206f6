package tillerlink.simulation;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import tillerlink.cluster.ClusterComponent;
import tillerlink.cluster.MessageSender;

/**
 * A fleet in virtual time: parts that are fed messages and time, and links between them that
 * misbehave as told. One seed, one history: events of one moment happen in the order in which they
 * were planned.
 */
public final class SimulatedFleet {
  /** What waits for a host that is paused, as a socket's buffer would hold it. */
  private static final int WAITING_MOST = 512;

  /** A host that was held up for longer is told that it was away. */
  private static final long AWAY_LEAST = 2000;

  /** The wall clock of the virtual world at its start, so that no clock set back is before 1970. */
  private static final long WALL_START = 17_000_000_000_000L;

  private record Event(long at, long order, Runnable what) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  private record Message(String from, byte[] body) {}

  /** One process: its part, and what waits for it while it is paused. */
  private static final class Host {
    final ClusterComponent part;
    final ArrayDeque<Message> waiting = new ArrayDeque<>();
    long wallAhead;
    long pausedAt = -1;
    long plannedAt = Long.MAX_VALUE;
    boolean alive = true;

    Host(ClusterComponent part) {
      this.part = part;
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<String, Host> hosts = new TreeMap<>();
  private final Map<String, Map<String, Fault>> faults = new HashMap<>();
  private final RandomGenerator random;
  private Fault usual = Fault.NONE;
  private long now;
  private long order;
  private long sent;
  private long sentBytes;
  private long delivered;

  /**
   * @param random a seeded generator
   */
  public SimulatedFleet(RandomGenerator random) {
    this.random = random;
  }

  // ---- hosts ----

  /** Starts a process under a name; whoever had it before is killed. */
  public void start(String name, ClusterComponent part) {
    kill(name);
    Host host = new Host(part);
    hosts.put(name, host);
    turn(host);
  }

  /** What a host sends by. */
  public MessageSender sender(String from) {
    return (to, body) -> send(from, to, body);
  }

  /** Kills a process; what is on its way to it is lost. */
  public void kill(String name) {
    Host host = hosts.remove(name);
    if (host != null) {
      host.alive = false;
    }
  }

  public boolean isUp(String name) {
    return hosts.containsKey(name);
  }

  /** Stops a process as SIGSTOP would: its clock goes on, it does nothing, messages wait. */
  public void pause(String name) {
    Host host = hosts.get(name);
    if (host != null && host.pausedAt < 0) {
      host.pausedAt = now;
    }
  }

  public void resume(String name) {
    Host host = hosts.get(name);
    if (host == null || host.pausedAt < 0) {
      return;
    }
    long lasted = now - host.pausedAt;
    host.pausedAt = -1;
    if (lasted > AWAY_LEAST) {
      host.part.onPause(now, wall(host), lasted);
    }
    for (Message message = host.waiting.poll(); message != null; message = host.waiting.poll()) {
      host.part.onMessage(now, wall(host), message.from, message.body);
    }
    turn(host);
  }

  /** Sets a host's wall clock, by tenths of a millisecond ahead of (or behind) the true one. */
  public void setClock(String name, long ahead) {
    Host host = hosts.get(name);
    if (host != null) {
      host.wallAhead = ahead;
    }
  }

  /**
   * To be called after something was asked of a host's part from outside, so that its time is
   * looked at again.
   */
  public void reschedule(String name) {
    Host host = hosts.get(name);
    if (host != null && host.pausedAt < 0) {
      turn(host);
    }
  }

  private long wall(Host host) {
    return WALL_START + now + host.wallAhead;
  }

  /** The wall clock of a host. */
  public long wall(String name) {
    Host host = hosts.get(name);
    return host == null ? WALL_START + now : wall(host);
  }

  // ---- links ----

  /** How all links behave of which nothing else was said. */
  public void setDefaultFault(Fault fault) {
    usual = fault;
  }

  /** How one direction behaves from now on; null: as usual. */
  public void link(String from, String to, Fault fault) {
    if (fault == null) {
      faults.getOrDefault(from, new HashMap<>()).remove(to);
    } else {
      faults.computeIfAbsent(from, any -> new HashMap<>()).put(to, fault);
    }
  }

  /** Both directions. */
  public void between(String one, String other, Fault fault) {
    link(one, other, fault);
    link(other, one, fault);
  }

  /** All links are as usual again. */
  public void heal() {
    faults.clear();
  }

  private Fault fault(String from, String to) {
    Map<String, Fault> of = faults.get(from);
    return of == null ? usual : of.getOrDefault(to, usual);
  }

  private void send(String from, String to, byte[] body) {
    sent++;
    sentBytes += body.length;
    Fault fault = fault(from, to);
    int copies = random.nextDouble() < fault.repeated() ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long way =
          fault.least()
              + (fault.most() > fault.least()
                  ? random.nextLong(fault.most() - fault.least() + 1)
                  : 0);
      if (!fault.cut() && body.length <= fault.maxBytes() && random.nextDouble() >= fault.lost()) {
        at(now + way, () -> arrive(from, to, body));
      }
    }
  }

  private void arrive(String from, String to, byte[] body) {
    Host host = hosts.get(to);
    if (host == null || fault(from, to).cut()) {
      return;
    }
    if (host.pausedAt >= 0) {
      if (host.waiting.size() < WAITING_MOST) {
        host.waiting.add(new Message(from, body));
      }
      return;
    }
    delivered++;
    host.part.onMessage(now, wall(host), from, body);
    turn(host);
  }

  // ---- time ----

  public long now() {
    return now;
  }

  public long sent() {
    return sent;
  }

  public long sentBytes() {
    return sentBytes;
  }

  public long delivered() {
    return delivered;
  }

  /** Plans something for a moment; one that has passed counts as now. */
  public void at(long when, Runnable what) {
    events.add(new Event(Math.max(now, when), order++, what));
  }

  private void turn(Host host) {
    host.part.tick(now, wall(host));
    plan(host);
  }

  private void plan(Host host) {
    long due = Math.max(now + 1, host.part.nextDueAt());
    if (due < host.plannedAt && due < Long.MAX_VALUE) {
      host.plannedAt = due;
      at(due, () -> due(host, due));
    }
  }

  private void due(Host host, long planned) {
    if (host.plannedAt != planned) {
      return;
    }
    host.plannedAt = Long.MAX_VALUE;
    if (host.alive && host.pausedAt < 0) {
      turn(host);
    }
  }

  /** Plays on until that moment. */
  public void playTo(long until) {
    while (!events.isEmpty() && events.peek().at <= until) {
      Event event = events.poll();
      now = event.at;
      event.what.run();
    }
    now = Math.max(now, until);
  }

  public void playFor(long span) {
    playTo(now + span);
  }
}
