package tillerlink.faultinjection.network;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
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
 * A network that forwards all datagrams between processes and injects faults. Each ordered pair of
 * processes has a link with its own socket, to which the first process sends what is meant for the
 * second. The network delivers from the socket of the reverse link, so that replies take that link.
 * One thread forwards all datagrams.
 */
public final class FaultyNetwork implements Closeable {
  private static final int MAX_DATAGRAM_BYTES = 65_535;

  /** The number of datagrams that may wait for delivery; more are dropped, to bound the memory. */
  private static final int MAX_DELAYED = 20_000;

  /** A tick is a tenth of a millisecond. */
  private static final long NANOS_PER_TICK = 100_000;

  private static final long IDLE_MS = 50;

  /** A datagram that is delivered at a time in ticks; equal times keep the order of sequence. */
  private record Delayed(long deliverAt, long sequence, Link link, byte[] bytes) {}

  private final long seed;
  private final NetworkCounters counters = new NetworkCounters();
  private final Selector selector = Selector.open();
  private final Map<String, Link> links = new TreeMap<>();
  private final Map<String, InetSocketAddress> processes = new ConcurrentHashMap<>();
  private final PriorityQueue<Delayed> delayed =
      new PriorityQueue<>(
          Comparator.comparingLong(Delayed::deliverAt).thenComparingLong(Delayed::sequence));
  private final ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
  private final Thread thread = new Thread(this::run, "fabric");
  private volatile boolean closed;
  private long sequence;

  /**
   * Starts a network without faults.
   *
   * @param seed the seed of the faults of each datagram
   */
  public FaultyNetwork(long seed) throws IOException {
    this.seed = seed;
    thread.setDaemon(true);
    thread.start();
  }

  /** Registers the loopback port on which a process receives datagrams. */
  public void register(String name, int port) {
    processes.put(name, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
  }

  /** Returns the port at which one process reaches another, and opens the links both ways. */
  public int port(String from, String to) {
    link(to, from);
    return Link.port(link(from, to).channel);
  }

  /** Changes the behaviour of the link from one process to another. */
  public void set(String from, String to, LinkBehaviour behaviour) {
    link(from, to).behaviour = behaviour;
  }

  /** Returns the behaviour of the link from one process to another. */
  public LinkBehaviour behaviour(String from, String to) {
    return link(from, to).behaviour;
  }

  /** Removes the faults of all links; datagrams that are already delayed still arrive. */
  public void heal() {
    synchronized (links) {
      links.values().forEach(link -> link.behaviour = LinkBehaviour.NONE);
    }
  }

  public NetworkCounters counters() {
    return counters;
  }

  private Link link(String from, String to) {
    synchronized (links) {
      return links.computeIfAbsent(from + ">" + to, key -> open(from, to));
    }
  }

  private Link open(String from, String to) {
    try {
      DatagramChannel channel = DatagramChannel.open();
      channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      channel.configureBlocking(false);
      Link link = new Link(seed, from, to, channel);
      selector.wakeup();
      channel.register(selector, SelectionKey.OP_READ, link);
      return link;
    } catch (IOException e) {
      throw new IllegalStateException(
          "cannot open a socket for the link from " + from + " to " + to, e);
    }
  }

  private static long now() {
    return System.nanoTime() / NANOS_PER_TICK;
  }

  private void run() {
    while (!closed) {
      try {
        long wait =
            delayed.isEmpty()
                ? IDLE_MS
                : Math.min(IDLE_MS, Math.max(1, (delayed.peek().deliverAt - now()) / 10));
        selector.select(wait);
        List<SelectionKey> ready = new ArrayList<>(selector.selectedKeys());
        selector.selectedKeys().clear();
        for (SelectionKey key : ready) {
          receive((Link) key.attachment());
        }
        deliver();
      } catch (IOException | ClosedSelectorException e) {
        // A process has ended, or the network was closed; the next datagram is not affected.
      }
    }
  }

  private void receive(Link link) throws IOException {
    buffer.clear();
    while (link.channel.receive(buffer) != null) {
      buffer.flip();
      byte[] bytes = new byte[buffer.remaining()];
      buffer.get(bytes);
      schedule(link, bytes);
      buffer.clear();
    }
  }

  private void schedule(Link link, byte[] bytes) {
    DatagramOutcome outcome = link.next(now(), bytes.length, counters);
    if (outcome == null) {
      return;
    }
    delay(link, bytes, outcome.delay());
    if (outcome.delay() > 0) {
      counters.add(NetworkCounters.Counter.LATE);
    }
    if (outcome.repeatDelay() >= 0) {
      counters.add(NetworkCounters.Counter.REPEATED);
      delay(link, bytes, outcome.repeatDelay());
    }
  }

  private void delay(Link link, byte[] bytes, long ticks) {
    if (delayed.size() >= MAX_DELAYED) {
      counters.add(NetworkCounters.Counter.TOO_MUCH);
    } else {
      delayed.add(new Delayed(now() + ticks, sequence++, link, bytes));
    }
  }

  private void deliver() {
    long now = now();
    while (!delayed.isEmpty() && delayed.peek().deliverAt <= now) {
      Delayed datagram = delayed.poll();
      InetSocketAddress target = processes.get(datagram.link.to);
      try {
        if (target == null) {
          counters.add(NetworkCounters.Counter.NOBODY);
        } else {
          link(datagram.link.to, datagram.link.from)
              .channel
              .send(ByteBuffer.wrap(datagram.bytes), target);
          counters.add(NetworkCounters.Counter.CARRIED);
        }
      } catch (IOException e) {
        counters.add(NetworkCounters.Counter.NOBODY);
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
    synchronized (links) {
      for (Link link : links.values()) {
        link.channel.close();
      }
    }
    selector.close();
  }
}
