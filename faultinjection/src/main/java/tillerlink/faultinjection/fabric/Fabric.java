package tillerlink.faultinjection.fabric;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * All datagrams between processes go through here: each ordered pair has a socket of its own, which
 * the first takes for the second. What the second gets comes from the socket at which it reaches
 * the first, so that an answer to where a datagram came from goes the way that it should. One
 * thread carries everything.
 */
public final class Fabric implements Closeable {
  private static final int DATAGRAM_MOST = 65_535;

  /**
   * What is held for late delivery: beyond it the fabric drops, so that a fault-injection run ends
   * with the memory that it has.
   */
  private static final int HELD_MOST = 20_000;

  private static final long NANOS_PER_TENTH = 100_000;
  private static final long IDLE_MS = 50;

  /** A datagram on its way. */
  private record Held(long at, long order, Link way, byte[] bytes) {}

  private final long seed;
  private final Tally tally = new Tally();
  private final Selector selector = Selector.open();
  private final Map<String, Link> ways = new TreeMap<>();
  private final Map<String, InetSocketAddress> processes = new ConcurrentHashMap<>();
  private final PriorityQueue<Held> held =
      new PriorityQueue<>(Comparator.comparingLong(Held::at).thenComparingLong(Held::order));
  private final ByteBuffer buffer = ByteBuffer.allocate(DATAGRAM_MOST);
  private final Thread thread = new Thread(this::run, "fabric");
  private volatile boolean closed;
  private long order;

  /**
   * @param seed from which it draws what becomes of each datagram
   */
  public Fabric(long seed) throws IOException {
    this.seed = seed;
    thread.setDaemon(true);
    thread.start();
  }

  /** Says at which port of loopback a process itself listens. */
  public void place(String name, int port) {
    processes.put(name, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
  }

  /** The port at which one process reaches another; the way both ways is there from then on. */
  public int port(String from, String to) {
    way(to, from);
    return Link.port(way(from, to).channel);
  }

  /** From now on the way from one to the other is so. */
  public void set(String from, String to, Fault fault) {
    way(from, to).fault = fault;
  }

  public Fault fault(String from, String to) {
    return way(from, to).fault;
  }

  /** All ways are as they should be from now on; what is held still comes. */
  public void heal() {
    synchronized (ways) {
      ways.values().forEach(way -> way.fault = Fault.NONE);
    }
  }

  public Tally tally() {
    return tally;
  }

  private Link way(String from, String to) {
    synchronized (ways) {
      return ways.computeIfAbsent(from + ">" + to, key -> open(from, to));
    }
  }

  private Link open(String from, String to) {
    try {
      DatagramChannel channel = DatagramChannel.open();
      channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      channel.configureBlocking(false);
      Link way = new Link(seed, from, to, channel);
      selector.wakeup();
      channel.register(selector, SelectionKey.OP_READ, way);
      return way;
    } catch (IOException e) {
      throw new IllegalStateException("no socket for the way from " + from + " to " + to, e);
    }
  }

  private static long now() {
    return System.nanoTime() / NANOS_PER_TENTH;
  }

  private void run() {
    while (!closed) {
      try {
        long wait =
            held.isEmpty()
                ? IDLE_MS
                : Math.min(IDLE_MS, Math.max(1, (held.peek().at - now()) / 10));
        selector.select(wait);
        List<SelectionKey> ready = new ArrayList<>(selector.selectedKeys());
        selector.selectedKeys().clear();
        for (SelectionKey key : ready) {
          take((Link) key.attachment());
        }
        deliver();
      } catch (IOException | java.nio.channels.ClosedSelectorException e) {
        // A process that has ended, or the end of all: the next datagram is as good.
      }
    }
  }

  private void take(Link way) throws IOException {
    for (boolean more = true; more; ) {
      buffer.clear();
      more = way.channel.receive(buffer) != null;
      buffer.flip();
      if (more) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        LinkFault fate = way.next(now(), bytes.length, tally);
        if (fate != null) {
          hold(way, bytes, fate.late());
          if (fate.late() > 0) {
            tally.add(Tally.What.LATE);
          }
          if (fate.again() >= 0) {
            tally.add(Tally.What.REPEATED);
            hold(way, bytes, fate.again());
          }
        }
      }
    }
  }

  private void hold(Link way, byte[] bytes, long late) {
    if (held.size() >= HELD_MOST) {
      tally.add(Tally.What.TOO_MUCH);
    } else {
      held.add(new Held(now() + late, order++, way, bytes));
    }
  }

  private void deliver() {
    long now = now();
    while (!held.isEmpty() && held.peek().at <= now) {
      Held one = held.poll();
      InetSocketAddress target = processes.get(one.way.to);
      try {
        if (target == null) {
          tally.add(Tally.What.NOBODY);
        } else {
          way(one.way.to, one.way.from).channel.send(ByteBuffer.wrap(one.bytes), target);
          tally.add(Tally.What.CARRIED);
        }
      } catch (IOException e) {
        tally.add(Tally.What.NOBODY);
      }
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    selector.wakeup();
    try {
      thread.join(1000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    synchronized (ways) {
      for (Link way : ways.values()) {
        way.channel.close();
      }
    }
    selector.close();
  }
}
