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
import tillerlink.fakes.DiscoveryResponse;
import tillerlink.model.Engine.Status;
import tillerlink.net.wire.EndpointEntry;

/**
 * The fake discovery service of all gateways, with one endpoint list that changes by numbered
 * events, and a link to each gateway with its own injected faults. It records which events were
 * sent to each gateway, and when. Times are milliseconds on the clock of the run.
 */
final class SoakDiscovery implements Closeable {
  private static final int MAX_DATAGRAM_BYTES = 512;
  private static final long REPETITION_DELAY_MS = 30;

  /** A change of an engine's entry; the index counts events from 1. */
  record Event(long index, double at, EndpointEntry entry) {}

  /** The link between the service and one gateway. */
  private static final class Link {
    private DatagramSocket socket;
    private final Set<SoakFault.Kind> faults = new HashSet<>();
    private final Set<SocketAddress> silentPorts = new HashSet<>();
    private SocketAddress lastClient;
    private double lossShare;
    private double maxDelayMs;

    /** The start of the present outage of the service, and the end of the last one. */
    private double downSince = Double.MAX_VALUE;

    private double upSince;

    /** The time of the first response with exactly the events up to an index, by that index. */
    private final TreeMap<Long, Double> sentAt = new TreeMap<>();
  }

  private final SoakClock clock;
  private final SoakTimer timer;
  private final Random random;
  private final List<Link> links = new ArrayList<>();
  private final Map<String, EndpointEntry> engines = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private EntryAdapter adapter = (entry, gateway) -> entry;
  private volatile boolean closed;

  SoakDiscovery(int gateways, SoakClock clock, SoakTimer timer, long seed) throws IOException {
    this.clock = clock;
    this.timer = timer;
    random = new Random(seed);
    for (int i = 0; i < gateways; i++) {
      links.add(new Link());
      open(i);
    }
  }

  private void open(int gateway) throws IOException {
    DatagramSocket socket =
        new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    links.get(gateway).socket = socket;
    Thread thread = new Thread(() -> listen(gateway, socket), "names-" + gateway);
    thread.setDaemon(true);
    thread.start();
  }

  synchronized int port(int gateway) {
    return links.get(gateway).socket.getLocalPort();
  }

  /** Moves the service for a gateway to another port, and closes the old one. */
  synchronized void move(int gateway) throws IOException {
    links.get(gateway).socket.close();
    open(gateway);
  }

  /** Adapts an entry to a gateway, because each gateway reaches the engines at its own ports. */
  interface EntryAdapter {
    EndpointEntry adapt(EndpointEntry entry, int gateway);
  }

  synchronized void adaptEntries(EntryAdapter newAdapter) {
    adapter = newAdapter;
  }

  // ---- the list ----

  /** Adds an event that changes the entry of an engine. */
  synchronized void update(EndpointEntry entry) {
    events.add(new Event(events.size() + 1, clock.now(), entry));
    engines.put(entry.id(), entry);
  }

  /** Returns the present endpoint list. */
  synchronized List<EndpointEntry> list() {
    return engines.values().stream().filter(entry -> entry.standing() != Status.GONE).toList();
  }

  /** Returns the index of the last event, or 0. */
  synchronized long index() {
    return events.size();
  }

  synchronized EndpointEntry entry(String engine) {
    return engines.get(engine);
  }

  // ---- faults ----

  /**
   * Begins or ends a fault on the link to a gateway.
   *
   * @param amount the share of lost datagrams or the greatest delay in milliseconds, by kind
   */
  synchronized void set(int gateway, SoakFault.Kind kind, double amount, boolean active) {
    Link link = links.get(gateway);
    if (!active) {
      link.faults.remove(kind);
      if (kind == SoakFault.Kind.NAMES_DOWN) {
        link.downSince = Double.MAX_VALUE;
        link.upSince = clock.now();
      }
      return;
    }
    link.faults.add(kind);
    switch (kind) {
      case NAMES_LOSSY -> link.lossShare = amount;
      case NAMES_SLOW -> link.maxDelayMs = amount;
      case NAMES_DOWN -> link.downSince = clock.now();
      case NAMES_WAY_SILENT -> {
        if (link.lastClient != null) {
          link.silentPorts.add(link.lastClient);
        }
      }
      default -> {}
    }
  }

  // ---- queries ----

  private void listen(int gateway, DatagramSocket socket) {
    DatagramPacket packet = new DatagramPacket(new byte[MAX_DATAGRAM_BYTES], MAX_DATAGRAM_BYTES);
    while (!socket.isClosed()) {
      try {
        socket.receive(packet);
        onQuery(
            gateway,
            socket,
            Arrays.copyOf(packet.getData(), packet.getLength()),
            packet.getSocketAddress());
      } catch (IOException e) {
        // The gateway has ended, or the service has moved.
      }
    }
  }

  private synchronized void onQuery(
      int gateway, DatagramSocket socket, byte[] query, SocketAddress from) {
    Link link = links.get(gateway);
    link.lastClient = from;
    if (link.faults.contains(SoakFault.Kind.NAMES_DOWN) || lost(link)) {
      return;
    }
    double delay =
        link.faults.contains(SoakFault.Kind.NAMES_SLOW) ? link.maxDelayMs * random.nextDouble() : 0;
    timer.after(delay, () -> respond(gateway, socket, query, from));
  }

  private boolean lost(Link link) {
    return link.faults.contains(SoakFault.Kind.NAMES_LOSSY) && random.nextDouble() < link.lossShare;
  }

  private synchronized void respond(
      int gateway, DatagramSocket socket, byte[] query, SocketAddress to) {
    Link link = links.get(gateway);
    if (closed) {
      return;
    }
    int id = (query[0] & 255) << 8 | (query[1] & 255);
    long index = events.size();
    List<EndpointEntry> list = list();
    boolean older = link.faults.contains(SoakFault.Kind.NAMES_OLDER) && index > 2;
    boolean truncated =
        link.faults.contains(SoakFault.Kind.NAMES_TRUNCATED) && random.nextBoolean();
    if (older) {
      index -= 1 + random.nextInt(2);
      list = listAt(index);
    }
    byte[] response =
        DiscoveryResponse.of(
            id, index, list.stream().map(entry -> adapter.adapt(entry, gateway)).toList());
    if (truncated) {
      response = Arrays.copyOf(response, response.length / 2);
    } else {
      link.sentAt.putIfAbsent(index, clock.now());
    }
    if (lost(link) || link.silentPorts.contains(to)) {
      return;
    }
    send(socket, response, to);
    if (link.faults.contains(SoakFault.Kind.NAMES_REORDERED)) {
      byte[] repetition = response;
      timer.after(
          REPETITION_DELAY_MS * (1 + 10 * random.nextDouble()), () -> send(socket, repetition, to));
    }
  }

  private List<EndpointEntry> listAt(long index) {
    Map<String, EndpointEntry> entries = new TreeMap<>();
    events.stream().limit(index).forEach(event -> entries.put(event.entry.id(), event.entry));
    return entries.values().stream().filter(entry -> entry.standing() != Status.GONE).toList();
  }

  private static void send(DatagramSocket socket, byte[] bytes, SocketAddress to) {
    try {
      socket.send(new DatagramPacket(bytes, bytes.length, to));
    } catch (IOException e) {
      // The gateway has ended, or the service has moved.
    }
  }

  // ---- knowledge of gateways ----

  /** Returns the events of an engine so far, oldest first. */
  synchronized List<Event> eventsOf(String engine) {
    return events.stream().filter(event -> event.entry.id().equals(engine)).toList();
  }

  /**
   * Returns when a gateway counts as knowing an event. That is when a response with the event was
   * sent to it, but no later than 1.5 s after the event or the start of the gateway, or 7 s if the
   * service had an outage in the meantime.
   *
   * @param startedAt the time at which the gateway's present process started
   * @param indexAtStart the index of the last event in the configuration of that process
   */
  synchronized double knownAt(int gateway, Event event, double startedAt, long indexAtStart) {
    if (event.index <= indexAtStart) {
      return startedAt;
    }
    Link link = links.get(gateway);
    double start = Math.max(event.at, startedAt);
    double sent =
        link.sentAt.tailMap(event.index).values().stream()
            .filter(at -> at >= startedAt)
            .min(Double::compare)
            .orElse(Double.MAX_VALUE);
    double latest = start + SoakSettings.OUTAGE_PROPAGATION_MS;
    boolean outage = start + SoakSettings.PROPAGATION_MS >= link.downSince || link.upSince > start;
    double unsent = outage ? latest : start + SoakSettings.PROPAGATION_MS;
    return Math.min(sent, Math.min(unsent, latest));
  }

  @Override
  public synchronized void close() {
    closed = true;
    links.forEach(link -> link.socket.close());
  }
}
