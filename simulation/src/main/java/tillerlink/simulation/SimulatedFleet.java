package tillerlink.simulation;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import tillerlink.cluster.ClusterComponent;
import tillerlink.cluster.MessageSender;

/**
 * A discrete-event simulation of a fleet in virtual time: hosts that run one component each, and
 * links between them with configurable faults. A seed determines the whole history; events of the
 * same moment happen in the order in which they were scheduled. Times are tenths of a millisecond.
 */
public final class SimulatedFleet {
  /** Messages buffered for a paused host, as a socket's receive buffer would hold them. */
  private static final int MAX_BUFFERED_MESSAGES = 512;

  /** A host that was paused for longer is notified of the pause when it resumes. */
  private static final long MAX_UNNOTICED_PAUSE = 2000;

  /** The wall clock at the start: well after 1970, so that a clock set back stays positive. */
  private static final long WALL_CLOCK_START = 17_000_000_000_000L;

  private static final long NOT_PAUSED = -1;
  private static final long NOT_SCHEDULED = Long.MAX_VALUE;

  private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
    }
  }

  private record Message(String from, byte[] body) {}

  /** One process: its component, and the messages buffered while it is paused. */
  private static final class Host {
    final ClusterComponent component;
    final Queue<Message> buffered = new ArrayDeque<>();
    long clockOffset;
    long pausedAt = NOT_PAUSED;
    long scheduledAt = NOT_SCHEDULED;
    boolean alive = true;

    Host(ClusterComponent component) {
      this.component = component;
    }

    boolean isPaused() {
      return pausedAt >= 0;
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<String, Host> hosts = new TreeMap<>();
  private final Map<String, Map<String, Fault>> faults = new HashMap<>();
  private final RandomGenerator random;
  private Fault defaultFault = Fault.NONE;
  private long now;
  private long nextSequence;
  private long sent;
  private long sentBytes;
  private long delivered;

  /**
   * Makes a fleet without hosts.
   *
   * @param random a seeded generator, the only source of chance
   */
  public SimulatedFleet(RandomGenerator random) {
    this.random = random;
  }

  // ---- hosts ----

  /** Starts a process under a name; a process that has the name already is killed. */
  public void start(String name, ClusterComponent component) {
    kill(name);
    Host host = new Host(component);
    hosts.put(name, host);
    tick(host);
  }

  /** Sends in the name of a host. */
  public MessageSender sender(String from) {
    return (to, body) -> send(from, to, body);
  }

  /** Kills a process; messages in transit to it are lost unless a successor is up by then. */
  public void kill(String name) {
    Host host = hosts.remove(name);
    if (host != null) {
      host.alive = false;
    }
  }

  /** Whether a process of that name runs, paused or not. */
  public boolean isUp(String name) {
    return hosts.containsKey(name);
  }

  /** Pauses a process as SIGSTOP would: time goes on, it does nothing, messages are buffered. */
  public void pause(String name) {
    Host host = hosts.get(name);
    if (host != null && !host.isPaused()) {
      host.pausedAt = now;
    }
  }

  /** Resumes a paused process and delivers what was buffered for it. */
  public void resume(String name) {
    Host host = hosts.get(name);
    if (host == null || !host.isPaused()) {
      return;
    }
    long duration = now - host.pausedAt;
    host.pausedAt = NOT_PAUSED;
    if (duration > MAX_UNNOTICED_PAUSE) {
      host.component.onPause(now, wall(host), duration);
    }
    for (Message message = host.buffered.poll(); message != null; message = host.buffered.poll()) {
      host.component.onMessage(now, wall(host), message.from, message.body);
    }
    tick(host);
  }

  /** Sets how far a host's wall clock is ahead of the true time; negative if it is behind. */
  public void setClock(String name, long offset) {
    Host host = hosts.get(name);
    if (host != null) {
      host.clockOffset = offset;
    }
  }

  /**
   * Ticks a host and schedules its next tick anew; to be called after its component was used from
   * outside the simulation.
   */
  public void reschedule(String name) {
    Host host = hosts.get(name);
    if (host != null && !host.isPaused()) {
      tick(host);
    }
  }

  private long wall(Host host) {
    return WALL_CLOCK_START + now + host.clockOffset;
  }

  /** The wall clock of a host; the true time if it is not up. */
  public long wall(String name) {
    Host host = hosts.get(name);
    return host == null ? WALL_CLOCK_START + now : wall(host);
  }

  // ---- links ----

  /** Sets the fault of all links that have none of their own. */
  public void setDefaultFault(Fault fault) {
    defaultFault = fault;
  }

  /** Sets the fault of one direction of a link; null restores the default. */
  public void link(String from, String to, Fault fault) {
    if (fault == null) {
      faults.getOrDefault(from, new HashMap<>()).remove(to);
    } else {
      faults.computeIfAbsent(from, any -> new HashMap<>()).put(to, fault);
    }
  }

  /** Sets the fault of both directions of a link; null restores the default. */
  public void between(String one, String other, Fault fault) {
    link(one, other, fault);
    link(other, one, fault);
  }

  /** Restores the default fault on all links. */
  public void heal() {
    faults.clear();
  }

  private Fault fault(String from, String to) {
    Map<String, Fault> byReceiver = faults.get(from);
    return byReceiver == null ? defaultFault : byReceiver.getOrDefault(to, defaultFault);
  }

  private void send(String from, String to, byte[] body) {
    sent++;
    sentBytes += body.length;
    Fault fault = fault(from, to);
    int copies = random.nextDouble() < fault.duplicateProbability() ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long delay = drawDelay(fault);
      if (!fault.cut()
          && body.length <= fault.maxBytes()
          && random.nextDouble() >= fault.lossProbability()) {
        at(now + delay, () -> deliver(from, to, body));
      }
    }
  }

  private long drawDelay(Fault fault) {
    long spread = fault.maxDelay() - fault.minDelay();
    return fault.minDelay() + (spread > 0 ? random.nextLong(spread + 1) : 0);
  }

  private void deliver(String from, String to, byte[] body) {
    Host host = hosts.get(to);
    if (host == null || fault(from, to).cut()) {
      return;
    }
    if (host.isPaused()) {
      if (host.buffered.size() < MAX_BUFFERED_MESSAGES) {
        host.buffered.add(new Message(from, body));
      }
      return;
    }
    delivered++;
    host.component.onMessage(now, wall(host), from, body);
    tick(host);
  }

  // ---- time ----

  /** The virtual time, 0 at the start. */
  public long now() {
    return now;
  }

  /** How many messages were sent by all hosts. */
  public long sent() {
    return sent;
  }

  /** The length of all messages sent, in bytes. */
  public long sentBytes() {
    return sentBytes;
  }

  /** How many messages were delivered, those buffered during a pause not counted. */
  public long delivered() {
    return delivered;
  }

  /** Schedules an action; a moment that has passed already counts as now. */
  public void at(long when, Runnable action) {
    events.add(new Event(Math.max(now, when), nextSequence++, action));
  }

  private void tick(Host host) {
    host.component.tick(now, wall(host));
    schedule(host);
  }

  private void schedule(Host host) {
    long dueAt = Math.max(now + 1, host.component.nextDueAt());
    if (dueAt < host.scheduledAt && dueAt < NOT_SCHEDULED) {
      host.scheduledAt = dueAt;
      at(dueAt, () -> tickIfDue(host, dueAt));
    }
  }

  private void tickIfDue(Host host, long scheduledAt) {
    if (host.scheduledAt != scheduledAt) {
      return;
    }
    host.scheduledAt = NOT_SCHEDULED;
    if (host.alive && !host.isPaused()) {
      tick(host);
    }
  }

  /** Runs the simulation up to a moment, events at that moment included. */
  public void playTo(long until) {
    while (!events.isEmpty() && events.peek().at <= until) {
      Event event = events.poll();
      now = event.at;
      event.action.run();
    }
    now = Math.max(now, until);
  }

  /** Runs the simulation for a while. */
  public void playFor(long duration) {
    playTo(now + duration);
  }
}
