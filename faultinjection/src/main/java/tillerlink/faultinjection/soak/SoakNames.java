package tillerlink.faultinjection.soak;

import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import tillerlink.fakes.DiscoveryResponse;
import tillerlink.model.Engine.Status;
import tillerlink.net.wire.EndpointEntry;

/**
 * The discovery service of all gateways: one list with numbered events, and a way to each gateway
 * with faults of its own. It notes which events each gateway was sent, and when.
 */
final class SoakNames implements Closeable {
  private static final int DATAGRAM_MOST = 512;
  private static final long REPEATED_AFTER_MS = 30;

  /** What happened to an engine: its entry from then on. */
  record Event(long index, double at, EndpointEntry entry) {}

  /** The way between the service and one gateway. */
  private static final class Way {
    private DatagramSocket socket;
    private final Set<SoakFault.Kind> faults = new HashSet<>();
    private final Set<SocketAddress> silentPorts = new HashSet<>();
    private SocketAddress lastAsker;
    private double lossy;
    private double slowMs;

    /** When the service stopped answering on this way, and when it last came back. */
    private double downSince = Double.MAX_VALUE;

    private double upSince;

    /** When the first answer was sent that held all events up to a number. */
    private final TreeMap<Long, Double> sentAt = new TreeMap<>();
  }

  private final SoakClock clock;
  private final ScheduledExecutorService later;
  private final Random random;
  private final List<Way> ways = new ArrayList<>();
  private final Map<String, EndpointEntry> engines = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private EntryFor entryFor = (entry, gateway) -> entry;
  private volatile boolean closed;

  SoakNames(int gateways, SoakClock clock, ScheduledExecutorService later, long seed)
      throws IOException {
    this.clock = clock;
    this.later = later;
    random = new Random(seed);
    for (int i = 0; i < gateways; i++) {
      ways.add(new Way());
      open(i);
    }
  }

  private void open(int gateway) throws IOException {
    DatagramSocket socket =
        new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    ways.get(gateway).socket = socket;
    Thread thread = new Thread(() -> listen(gateway, socket), "names-" + gateway);
    thread.setDaemon(true);
    thread.start();
  }

  synchronized int port(int gateway) {
    return ways.get(gateway).socket.getLocalPort();
  }

  /** The service is at another port for that gateway from now on; the old one answers nothing. */
  synchronized void moves(int gateway) throws IOException {
    ways.get(gateway).socket.close();
    open(gateway);
  }

  /** How an entry reads for a gateway, since each reaches engines at ports of its own. */
  interface EntryFor {
    EndpointEntry of(EndpointEntry entry, int gateway);
  }

  synchronized void listFor(EntryFor how) {
    entryFor = how;
  }

  // ---- what happens ----

  /** An engine is as the entry says from now on. */
  synchronized void happens(EndpointEntry entry) {
    events.add(new Event(events.size() + 1, clock.now(), entry));
    engines.put(entry.id(), entry);
  }

  /** The list as it is, for a gateway's configuration. */
  synchronized List<EndpointEntry> list() {
    return engines.values().stream().filter(entry -> entry.standing() != Status.GONE).toList();
  }

  synchronized long index() {
    return events.size();
  }

  synchronized EndpointEntry entry(String engine) {
    return engines.get(engine);
  }

  // ---- faults ----

  synchronized void set(int gateway, SoakFault.Kind kind, double amount, boolean on) {
    Way way = ways.get(gateway);
    if (!on) {
      way.faults.remove(kind);
      if (kind == SoakFault.Kind.NAMES_DOWN) {
        way.downSince = Double.MAX_VALUE;
        way.upSince = clock.now();
      }
      return;
    }
    way.faults.add(kind);
    switch (kind) {
      case NAMES_LOSSY -> way.lossy = amount;
      case NAMES_SLOW -> way.slowMs = amount;
      case NAMES_DOWN -> way.downSince = clock.now();
      case NAMES_WAY_SILENT -> {
        if (way.lastAsker != null) {
          way.silentPorts.add(way.lastAsker);
        }
      }
      default -> {}
    }
  }

  // ---- questions ----

  private void listen(int gateway, DatagramSocket socket) {
    DatagramPacket packet = new DatagramPacket(new byte[DATAGRAM_MOST], DATAGRAM_MOST);
    while (!socket.isClosed()) {
      try {
        socket.receive(packet);
        asked(
            gateway,
            socket,
            Arrays.copyOf(packet.getData(), packet.getLength()),
            packet.getSocketAddress());
      } catch (IOException e) {
        // The gateway that asked has gone, or the service has moved.
      }
    }
  }

  private synchronized void asked(
      int gateway, DatagramSocket socket, byte[] question, SocketAddress from) {
    Way way = ways.get(gateway);
    way.lastAsker = from;
    if (way.faults.contains(SoakFault.Kind.NAMES_DOWN) || lost(way)) {
      return;
    }
    double late =
        way.faults.contains(SoakFault.Kind.NAMES_SLOW) ? way.slowMs * random.nextDouble() : 0;
    later.schedule(
        () -> answer(gateway, socket, question, from), (long) late, TimeUnit.MILLISECONDS);
  }

  private boolean lost(Way way) {
    return way.faults.contains(SoakFault.Kind.NAMES_LOSSY) && random.nextDouble() < way.lossy;
  }

  private synchronized void answer(
      int gateway, DatagramSocket socket, byte[] question, SocketAddress to) {
    Way way = ways.get(gateway);
    if (closed) {
      return;
    }
    int id = (question[0] & 255) << 8 | question[1] & 255;
    long index = events.size();
    List<EndpointEntry> list = list();
    boolean older = way.faults.contains(SoakFault.Kind.NAMES_OLDER) && index > 2;
    boolean truncated = way.faults.contains(SoakFault.Kind.NAMES_TRUNCATED) && random.nextBoolean();
    if (older) {
      index -= 1 + random.nextInt(2);
      list = listAt(index);
    }
    byte[] answer =
        DiscoveryResponse.of(
            id, index, list.stream().map(entry -> entryFor.of(entry, gateway)).toList());
    if (truncated) {
      answer = Arrays.copyOf(answer, answer.length / 2);
    } else {
      way.sentAt.putIfAbsent(index, clock.now());
    }
    if (lost(way) || way.silentPorts.contains(to)) {
      return;
    }
    send(socket, answer, to);
    if (way.faults.contains(SoakFault.Kind.NAMES_REORDERED)) {
      byte[] again = answer;
      later.schedule(
          () -> send(socket, again, to),
          (long) (REPEATED_AFTER_MS * (1 + 10 * random.nextDouble())),
          TimeUnit.MILLISECONDS);
    }
  }

  private List<EndpointEntry> listAt(long index) {
    Map<String, EndpointEntry> then = new TreeMap<>();
    events.stream().limit(index).forEach(event -> then.put(event.entry.id(), event.entry));
    return then.values().stream().filter(entry -> entry.standing() != Status.GONE).toList();
  }

  private static void send(DatagramSocket socket, byte[] bytes, SocketAddress to) {
    try {
      socket.send(new DatagramPacket(bytes, bytes.length, to));
    } catch (IOException e) {
      // The gateway has gone, or the service has moved.
    }
  }

  // ---- who was told what ----

  /** The events so far of an engine, oldest first. */
  synchronized List<Event> eventsOf(String engine) {
    return events.stream().filter(event -> event.entry.id().equals(engine)).toList();
  }

  /**
   * When an event counts as told to a gateway that started then: when an answer that holds it was
   * sent, and 1.5 s after it happened at the latest, counted from the start where that came later
   * and from the end of an outage; 7 s where the service sent no answers.
   */
  synchronized double toldAt(int gateway, Event event, double startedAt, long indexAtStart) {
    if (event.index <= indexAtStart) {
      return startedAt;
    }
    Way way = ways.get(gateway);
    double happened = Math.max(event.at, startedAt);
    double sent =
        way.sentAt.tailMap(event.index).values().stream()
            .filter(at -> at >= startedAt)
            .min(Double::compare)
            .orElse(Double.MAX_VALUE);
    double anyway = happened + SoakTerms.TOLD_ANYWAY_AFTER_MS;
    boolean outage = happened + SoakTerms.TOLD_AFTER_MS >= way.downSince || way.upSince > happened;
    double unasked = outage ? anyway : happened + SoakTerms.TOLD_AFTER_MS;
    return Math.min(sent, Math.min(unasked, anyway));
  }

  @Override
  public synchronized void close() {
    closed = true;
    ways.forEach(way -> way.socket.close());
  }
}
