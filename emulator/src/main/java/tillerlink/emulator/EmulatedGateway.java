package tillerlink.emulator;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import tillerlink.fakes.DiscoveryResponse;
import tillerlink.model.Engine.Status;
import tillerlink.net.state.Channel;
import tillerlink.net.state.Gateway;
import tillerlink.net.state.GatewayExtension;
import tillerlink.net.state.NetworkDriver;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.port.DispatchPolicyFactory;
import tillerlink.telemetry.Telemetry;

/**
 * A real gateway with its state and its dispatch policy on an in-memory network driver. Events of
 * one moment are handled in one event-loop iteration in the order in which they came, as by the
 * event-loop thread of a process.
 */
public final class EmulatedGateway implements NetworkDriver {
  /** One-way delay to the discovery service, in tenths of a millisecond. */
  private static final long DISCOVERY_DELAY = 5;

  private static final long MAX_BYTES_HELD = 16L << 20;

  final int index;
  private final EmulatedCluster cluster;
  private final DispatchPolicyFactory policies;
  private final Random seeds;
  private Gateway gateway;
  private List<Runnable> inbox = new ArrayList<>();
  private List<Runnable> spareInbox = new ArrayList<>();
  private boolean iterationDue;
  private long wakeupAt = Long.MAX_VALUE;
  private int incarnation;
  private final Set<EmulatedConnection> connections = new LinkedHashSet<>();

  EmulatedGateway(EmulatedCluster cluster, int index, DispatchPolicyFactory policies, long seed) {
    this.cluster = cluster;
    this.index = index;
    this.policies = policies;
    seeds = new Random(seed * 1_000_003 + index);
    start();
  }

  /** Starts a new incarnation, without the state of the one before. */
  void start() {
    incarnation++;
    inbox.clear();
    iterationDue = false;
    wakeupAt = Long.MAX_VALUE;
    if (!cluster.isDiscoveryDown()) {
      auditNotReady(cluster.list());
    }
    gateway =
        new Gateway(
            cluster.fleet.assignment(
                index, seeds.nextLong(), cluster.requestClasses, cluster.watchEvent()),
            policies,
            this,
            cluster.now(),
            MAX_BYTES_HELD,
            cluster.fleet.transports(),
            cluster.endpointCache(index),
            Telemetry.silent());
    post(() -> {});
  }

  /** Adds an extension to the gateway, until it is killed. */
  public void addExtension(Function<GatewayExtension.ExtensionContext, GatewayExtension> factory) {
    gateway.setExtension(factory.apply(gateway.extensionContext()));
  }

  /** Kills the gateway: what it had planned does not happen. */
  void kill() {
    incarnation++;
    gateway = null;
    List.copyOf(connections).forEach(EmulatedConnection::abort);
  }

  /** How many connections to engines the gateway counts as open or opening. */
  public int engineConnections() {
    return gateway.openConnections();
  }

  /** Whether it runs. */
  public boolean isUp() {
    return gateway != null;
  }

  /** A client connects. */
  public Channel.Owner accept(Channel channel) {
    return gateway.onClientConnected(channel);
  }

  /** Counts starts and kills, so that events for a killed gateway don't reach the next one. */
  public int incarnation() {
    return incarnation;
  }

  /** Its connections to engines, as the engines see them. */
  public List<ServerConnection> connections() {
    return List.copyOf(connections);
  }

  void forget(EmulatedConnection connection) {
    connections.remove(connection);
  }

  /** Posts an event to the event loop, unless that incarnation has ended. */
  public void post(int forIncarnation, Runnable event) {
    if (forIncarnation == incarnation) {
      post(event);
    }
  }

  /** Posts an event for the iteration of this moment. */
  private void post(Runnable event) {
    if (gateway == null) {
      return;
    }
    inbox.add(event);
    if (!iterationDue) {
      iterationDue = true;
      int current = incarnation;
      cluster.timeline.at(cluster.now(), () -> iterate(current));
    }
  }

  private void iterate(int forIncarnation) {
    if (forIncarnation != incarnation || gateway == null) {
      return;
    }
    iterationDue = false;
    CostMeter meter = cluster.costMeter();
    if (meter != null) {
      meter.iterationBegins();
    }
    gateway.beginIteration(cluster.now());
    List<Runnable> events = inbox;
    inbox = spareInbox;
    for (Runnable event : events) {
      event.run();
    }
    events.clear();
    spareInbox = events;
    gateway.endIteration();
    if (meter != null) {
      meter.iterationEnds();
    }
    cluster.countLoopIteration();
    scheduleWakeup();
  }

  private void scheduleWakeup() {
    long due = gateway.dueAt();
    if (due <= cluster.now()) {
      post(() -> {});
    } else if (due < wakeupAt || wakeupAt <= cluster.now()) {
      wakeupAt = due;
      int current = incarnation;
      cluster.timeline.at(due, () -> wake(current, due));
    }
  }

  private void wake(int forIncarnation, long due) {
    if (forIncarnation == incarnation && gateway != null && wakeupAt == due) {
      wakeupAt = Long.MAX_VALUE;
      post(() -> {});
    }
  }

  @Override
  public Channel connect(InetSocketAddress to, Channel.Owner owner) {
    EmulatedConnection connection =
        new EmulatedConnection(
            cluster, this, owner, cluster.engineAt(to), cluster.delay(index, to));
    connections.add(connection);
    return connection;
  }

  @Override
  public void sendDiscoveryQuery(byte[] datagram) {
    int id = (datagram[0] & 255) << 8 | (datagram[1] & 255);
    int current = incarnation;
    cluster.timeline.at(
        cluster.now() + DISCOVERY_DELAY,
        () -> {
          byte[] response = cluster.discoveryResponse();
          if (current == incarnation && response != null) {
            auditNotReady(cluster.list());
            cluster.timeline.at(
                cluster.now() + DISCOVERY_DELAY,
                () -> {
                  if (current == incarnation) {
                    post(() -> gateway.onDiscoveryDatagram(DiscoveryResponse.withId(id, response)));
                  }
                });
          }
        });
  }

  private void auditNotReady(List<EndpointEntry> endpoints) {
    for (EndpointEntry entry : endpoints) {
      if (entry.standing() != Status.READY) {
        cluster.auditor.onEndpointWithdrawn(cluster.now(), index, entry.id());
      }
    }
  }

  @Override
  public void flush() {
    // What was written is already on its way.
  }
}
