package tillerlink.net.state;

import java.util.List;
import tillerlink.net.wire.EndpointWatchEvent;
import tillerlink.plain.Units;
import tillerlink.port.EndpointListState;
import tillerlink.telemetry.Counter;
import tillerlink.telemetry.EventLog.Topic;

/**
 * Polls the discovery service, has its answers taken over, and notifies the policy when the
 * endpoint list may be used for longer, or no more. Owned by the event-loop thread.
 */
final class EndpointListWatch {
  private final GatewayContext context;
  private final DiscoveryClient client;
  private final EndpointListUpdater updater;
  private final EndpointList endpoints;
  private final EndpointListStatus status;
  private long usableUntil = -1;

  EndpointListWatch(
      GatewayContext context,
      DiscoveryClient client,
      EndpointListUpdater updater,
      EndpointList endpoints) {
    this.context = context;
    this.client = client;
    this.updater = updater;
    this.endpoints = endpoints;
    status = context.listStatus();
  }

  /**
   * The process starts.
   *
   * @param known the endpoint lists that the configuration contains
   */
  void start(List<EndpointWatchEvent> known) {
    updater.start(context.now(), known);
  }

  /** Polls the discovery service if that is due, and notifies the policy of the list's state. */
  void checkTimeouts() {
    client.pollIfDue(context.now());
    updateState();
  }

  private void updateState() {
    long now = context.now();
    // A cached list is known to be old, and the policy weighs how far it trusts each engine of it.
    boolean cached = updater.usesCachedList();
    EndpointListState state = cached ? EndpointListState.DEGRADED : client.lease().state(now);
    long until = cached ? Long.MAX_VALUE : client.lease().usableUntil(now);
    if (state != status.state()) {
      context
          .telemetry()
          .log()
          .event(
              now,
              Topic.DISCOVERY,
              "endpoint list state changed",
              "from",
              status.state(),
              "to",
              state,
              "list_age_ms",
              client.lease().age(now) / Units.TENTHS_PER_MS,
              "version",
              endpoints.index());
    }
    if (state != status.state() || until != usableUntil) {
      status.setState(state);
      usableUntil = until;
      context.policyEvents().endpointListStateChanged(state, until);
    }
  }

  /** When the next poll is due, or the state of the list changes by itself. */
  long dueAt() {
    return client.dueAt(context.now());
  }

  /** A datagram of the discovery service has come. */
  void onDatagram(byte[] datagram) {
    long now = context.now();
    try {
      if (updater.apply(now, client.onAnswer(now, datagram, endpoints.index()))) {
        context.policyEvents().requireDecisions();
      }
    } catch (IllegalArgumentException e) {
      context.telemetry().metrics().add(Counter.DISCOVERY_UNUSABLE_ANSWERS);
      context.warnRateLimited("discovery service: " + e.getMessage());
    }
  }

  /** The discovery service is to be polled at another address. */
  void onAddressChanged() {
    client.onAddressChanged(context.now());
  }

  /** Whether an answer of the discovery service confirms the list in force. */
  boolean confirmed() {
    return client.lease().state(context.now()) == EndpointListState.CONFIRMED;
  }
}
