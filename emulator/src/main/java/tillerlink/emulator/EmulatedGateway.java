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
import tillerlink.net.state.RetainedBytes;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.port.DispatchPolicyFactory;
import tillerlink.telemetry.Telemetry;

/**
 * A host of a real gateway, with its state and its dispatch policy, on an in-memory network driver.
 * Events at the same time are handled in a single event-loop iteration, in the order in which they
 * were posted, as the event-loop thread of a gateway process does.
 */
public final class EmulatedGateway implements NetworkDriver {
  /** The one-way delay to the discovery service, in tenths of a millisecond. */
  private static final long DISCOVERY_DELAY = 5;

  /** The gateway's limit on buffered bytes. */
  private static final long MAX_BUFFERED_BYTES = 16L << 20;

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

  /**
   * Creates a gateway and starts it.
   *
   * @param cluster the cluster that it belongs to
   * @param index its index in the cluster
   * @param policies creates the dispatch policy of each incarnation
   * @param seed the cluster's seed, from which the seeds of the incarnations are drawn
   */
  EmulatedGateway(EmulatedCluster cluster, int index, DispatchPolicyFactory policies, long seed) {
    this.cluster = cluster;
    this.index = index;
    this.policies = policies;
    seeds = new Random(seed * 1_000_003 + index);
    start();
  }

  /** Starts a new incarnation, which has no in-memory state of the previous one. */
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
            new RetainedBytes(MAX_BUFFERED_BYTES),
            cluster.fleet.transports(),
            cluster.endpointCache(index),
            Telemetry.silent());
    post(() -> {});
  }

  /** Adds an extension to the gateway; it is not added again after a restart. */
  public void addExtension(Function<GatewayExtension.ExtensionContext, GatewayExtension> factory) {
    gateway.setExtension(factory.apply(gateway.extensionContext()));
  }

  /** Kills the gateway and aborts its connections; events scheduled for it are discarded. */
  void kill() {
    incarnation++;
    gateway = null;
    List.copyOf(connections).forEach(EmulatedConnection::abort);
  }

  /** Returns the number of engine connections that the gateway counts as open or opening. */
  public int engineConnections() {
    return gateway.openConnections();
  }

  /** Returns whether the gateway is running. */
  public boolean isUp() {
    return gateway != null;
  }

  /**
   * Accepts the connection of a client.
   *
   * @param channel the gateway's end of the connection
   * @return the gateway's handler of the connection
   */
  public Channel.Owner accept(Channel channel) {
    return gateway.onClientConnected(channel);
  }

  /**
   * Returns the number of starts and kills so far, which identifies the incarnation. It prevents
   * events for a killed gateway from reaching the next incarnation.
   */
  public int incarnation() {
    return incarnation;
  }

  /** Returns the engines' ends of its connections to engines. */
  public List<ServerConnection> connections() {
    return List.copyOf(connections);
  }

  /** Removes a connection that has ended. */
  void forget(EmulatedConnection connection) {
    connections.remove(connection);
  }

  /** Posts an event to the event loop; discards it if the given incarnation has ended. */
  public void post(int forIncarnation, Runnable event) {
    if (forIncarnation == incarnation) {
      post(event);
    }
  }

  /** Posts an event for the event-loop iteration at the current time. */
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

  /** Runs an event-loop iteration with the posted events. */
  private void iterate(int forIncarnation) {
    if (forIncarnation != incarnation || gateway == null) {
      return;
    }
    iterationDue = false;
    CostMeter meter = cluster.costMeter();
    if (meter != null) {
      meter.beginIteration();
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
      meter.endIteration();
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

  /** Reports to the auditor which engines the gateway learns to be not ready. */
  private void auditNotReady(List<EndpointEntry> endpoints) {
    for (EndpointEntry entry : endpoints) {
      if (entry.standing() != Status.READY) {
        cluster.auditor.onEndpointWithdrawn(cluster.now(), index, entry.id());
      }
    }
  }

  @Override
  public void flush() {
    // Nothing to do, because writes are sent immediately.
  }
}
