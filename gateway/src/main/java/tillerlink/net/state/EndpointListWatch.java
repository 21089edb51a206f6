package tillerlink.net.state;

import java.util.List;
import tillerlink.net.wire.EndpointWatchEvent;
import tillerlink.plain.Units;
import tillerlink.port.EndpointListState;
import tillerlink.telemetry.Counter;
import tillerlink.telemetry.EventLog.Topic;

/**
 * A watch on the endpoint list: polls the discovery service, applies its answers, and notifies the
 * dispatch policy when the time until which the list may be used changes. Confined to the
 * event-loop thread; all times are tenths of a millisecond.
 */
final class EndpointListWatch {
  private final GatewayContext context;
  private final DiscoveryClient client;
  private final EndpointListUpdater updater;
  private final EndpointList endpoints;
  private final EndpointListStatus status;

  /** The time until which the list may be used, as last sent to the policy; -1 before that. */
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
   * Applies the endpoint lists that are known when the process starts.
   *
   * @param initialUpdates the endpoint lists that the configuration contains
   */
  void start(List<EndpointWatchEvent> initialUpdates) {
    updater.start(context.now(), initialUpdates);
  }

  /** Polls the discovery service if a poll is due, and updates the state of the endpoint list. */
  void checkTimeouts() {
    client.pollIfDue(context.now());
    updateState();
  }

  /** Logs a change of the list's state and notifies the policy of it. */
  private void updateState() {
    long now = context.now();
    // A cached list is always degraded and has no limit in time, because it is known to be old and
    // the policy weighs the trust in each of its engines.
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
              endpoints.serial());
    }
    if (state != status.state() || until != usableUntil) {
      status.setState(state);
      usableUntil = until;
      context.policyEvents().endpointListStateChanged(state, until);
    }
  }

  /**
   * Returns when the next poll is due or the state of the list changes by itself, whichever is
   * first, in tenths of a millisecond.
   */
  long dueAt() {
    return client.dueAt(context.now());
  }

  /** Applies a datagram from the discovery service; logs a warning if it cannot be used. */
  void onDatagram(byte[] datagram) {
    long now = context.now();
    try {
      if (updater.apply(now, client.onAnswer(now, datagram, endpoints.serial()))) {
        context.policyEvents().requireDecisions();
      }
    } catch (IllegalArgumentException e) {
      context.telemetry().metrics().add(Counter.DISCOVERY_UNUSABLE_ANSWERS);
      context.warnRateLimited("discovery service: " + e.getMessage());
    }
  }

  /** Makes the next poll due at once, because the discovery service has another address. */
  void onAddressChanged() {
    client.onAddressChanged(context.now());
  }

  /** Returns whether a recent answer of the discovery service confirms the list in force. */
  boolean confirmed() {
    return client.lease().state(context.now()) == EndpointListState.CONFIRMED;
  }
}
