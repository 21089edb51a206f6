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
 * A discrete-event simulation of a fleet in virtual time. It consists of hosts, each of which runs
 * one process with one component, and of links between them, into which faults can be injected. The
 * seed of the random generator determines the whole history; events at the same time run in the
 * order in which they were scheduled. Times are tenths of a millisecond.
 */
public final class SimulatedFleet {
  /**
   * The number of messages that are buffered for a paused host, which models the receive buffer of
   * a socket. Further ones are lost.
   */
  private static final int MAX_BUFFERED_MESSAGES = 512;

  /**
   * The longest pause of which a component is not notified when its host resumes, in tenths of a
   * millisecond.
   */
  private static final long MAX_UNNOTICED_PAUSE = 2000;

  /**
   * The wall-clock time at the start, in tenths of a millisecond since 1970. It is well above 0, so
   * that a clock that is set back stays positive.
   */
  private static final long WALL_CLOCK_START = 17_000_000_000_000L;

  private static final long NOT_PAUSED = -1;
  private static final long NOT_SCHEDULED = Long.MAX_VALUE;

  /** A scheduled action; the sequence number orders events at the same time. */
  private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
    }
  }

  private record Message(String from, byte[] body) {}

  /** A host's process, with its component and the messages buffered while it is paused. */
  private static final class Host {
    final ClusterComponent component;
    final Queue<Message> buffered = new ArrayDeque<>();

    /** The lead of its wall clock over the true time, in tenths of a millisecond. */
    long clockOffset;

    long pausedAt = NOT_PAUSED;

    /** The time of the next tick; ticks that were scheduled for other times are ignored. */
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
   * Creates a fleet without hosts.
   *
   * @param random a seeded generator, the only source of randomness in the simulation
   */
  public SimulatedFleet(RandomGenerator random) {
    this.random = random;
  }

  // ---- hosts ----

  /** Starts a process on the named host and kills the process that ran there before, if any. */
  public void start(String name, ClusterComponent component) {
    kill(name);
    Host host = new Host(component);
    hosts.put(name, host);
    tick(host);
  }

  /** Returns a sender whose messages come from the named host. */
  public MessageSender sender(String from) {
    return (to, body) -> send(from, to, body);
  }

  /**
   * Kills the process on a host. Messages in transit to it are lost, unless a new process runs
   * there when they arrive.
   */
  public void kill(String name) {
    Host host = hosts.remove(name);
    if (host != null) {
      host.alive = false;
    }
  }

  /** Returns whether a process runs on the named host; it may be paused. */
  public boolean isUp(String name) {
    return hosts.containsKey(name);
  }

  /**
   * Pauses a process as SIGSTOP does. It processes nothing while time advances, and messages to it
   * are buffered.
   */
  public void pause(String name) {
    Host host = hosts.get(name);
    if (host != null && !host.isPaused()) {
      host.pausedAt = now;
    }
  }

  /** Resumes a paused process and delivers the messages that were buffered for it. */
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

  /**
   * Sets the error of a host's wall clock.
   *
   * @param offset how far it is ahead of the true time, in tenths of a millisecond; negative if it
   *     is behind
   */
  public void setClock(String name, long offset) {
    Host host = hosts.get(name);
    if (host != null) {
      host.clockOffset = offset;
    }
  }

  /**
   * Ticks a host and reschedules its next tick. Must be called after its component was used from
   * outside the simulation, because that can change when the component is due next.
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

  /**
   * Returns the wall-clock time of a host, in tenths of a millisecond since 1970; the true time if
   * no process runs there.
   */
  public long wall(String name) {
    Host host = hosts.get(name);
    return host == null ? WALL_CLOCK_START + now : wall(host);
  }

  // ---- links ----

  /** Sets the default fault, which applies to all links for which no other fault is set. */
  public void setDefaultFault(Fault fault) {
    defaultFault = fault;
  }

  /**
   * Sets the fault of one direction of a link.
   *
   * @param fault the fault, or null to restore the default
   */
  public void link(String from, String to, Fault fault) {
    if (fault == null) {
      faults.getOrDefault(from, new HashMap<>()).remove(to);
    } else {
      faults.computeIfAbsent(from, sender -> new HashMap<>()).put(to, fault);
    }
  }

  /**
   * Sets the fault of both directions of a link.
   *
   * @param fault the fault, or null to restore the default
   */
  public void between(String first, String second, Fault fault) {
    link(first, second, fault);
    link(second, first, fault);
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

  /** Delivers a message, unless its receiver is down or the link was cut in the meantime. */
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

  /** Returns the virtual time in tenths of a millisecond, which is 0 at the start. */
  public long now() {
    return now;
  }

  /** Returns the number of messages that all hosts have sent. */
  public long sent() {
    return sent;
  }

  /** Returns the total length of all messages that were sent, in bytes. */
  public long sentBytes() {
    return sentBytes;
  }

  /** Returns the number of delivered messages, without those that were buffered in a pause. */
  public long delivered() {
    return delivered;
  }

  /**
   * Schedules an action.
   *
   * @param when the virtual time at which it runs, in tenths of a millisecond; a time in the past
   *     means now
   */
  public void at(long when, Runnable action) {
    events.add(new Event(Math.max(now, when), nextSequence++, action));
  }

  /** Ticks a host's component and schedules its next tick. */
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

  /** Runs the simulation up to a virtual time, including the events at that time. */
  public void playTo(long until) {
    while (!events.isEmpty() && events.peek().at <= until) {
      Event event = events.poll();
      now = event.at;
      event.action.run();
    }
    now = Math.max(now, until);
  }

  /** Runs the simulation for a duration, in tenths of a millisecond. */
  public void playFor(long duration) {
    playTo(now + duration);
  }
}
