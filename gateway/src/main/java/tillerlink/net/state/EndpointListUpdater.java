package tillerlink.net.state;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.model.EndpointUpdate;
import tillerlink.net.wire.EndpointWatchEvent;
import tillerlink.policy.InvariantMonitor;
import tillerlink.port.DispatchPolicy;
import tillerlink.telemetry.EventLog.Topic;
import tillerlink.telemetry.Telemetry;

/**
 * An updater that applies watch events of the discovery service to the endpoint list and notifies
 * the dispatch policy of the changes. It starts from the endpoint cache if the discovery service is
 * unavailable when the gateway starts. Confined to the event-loop thread; all times are tenths of a
 * millisecond.
 */
final class EndpointListUpdater {
  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);

  private final EndpointList endpoints;
  private final DispatchPolicy policy;
  private final InvariantMonitor invariants;
  private final EndpointCache endpointCache;
  private final Telemetry telemetry;

  /** Whether no list was known at the start and the discovery service has published none since. */
  private boolean startedWithoutList;

  /**
   * Creates an updater of an endpoint list.
   *
   * @param endpointCache the cache that stores the list across restarts, or null for no cache
   */
  EndpointListUpdater(
      EndpointList endpoints,
      DispatchPolicy policy,
      InvariantMonitor invariants,
      EndpointCache endpointCache,
      Telemetry telemetry) {
    this.invariants = invariants;
    this.endpoints = endpoints;
    this.policy = policy;
    this.endpointCache = endpointCache;
    this.telemetry = telemetry;
  }

  /**
   * Returns whether the discovery service has not answered since a start without a list. The list
   * in force is then the cached one, whose engines the policy weighs by their trust, or there is
   * none.
   */
  boolean usesCachedList() {
    return startedWithoutList;
  }

  /**
   * Applies the lists that are known at the start, or the cached list if these are empty.
   *
   * @param initialUpdates the endpoint lists that the configuration contains
   */
  void start(long now, List<EndpointWatchEvent> initialUpdates) {
    initialUpdates.forEach(event -> apply(now, event));
    endpoints.forgetListTime();
    if (endpointCache != null
        && initialUpdates.stream().allMatch(event -> event.entries().isEmpty())) {
      startWithoutList(now);
    }
  }

  /**
   * Applies a watch event, as far as the endpoint cache does not replace it.
   *
   * @return whether the policy was notified of a change
   */
  boolean apply(long now, EndpointWatchEvent received) {
    EndpointWatchEvent completed = endpoints.complete(received);
    boolean newer = completed.serial() > endpoints.serial();
    EndpointWatchEvent event =
        endpointCache != null && newer
            ? endpointCache.onEndpointsReceived(now, completed)
            : completed;
    List<EndpointUpdate> updates = endpoints.apply(event);
    if (updates != null) {
      telemetry
          .log()
          .event(
              now,
              Topic.DISCOVERY,
              "endpoint list updated",
              "version",
              event.serial(),
              "engines",
              updates.size(),
              "whole",
              event.complete(),
              "newer",
              newer);
      invariants.onEndpointsChanged(now, event.complete(), updates);
      policy.onEndpointsChanged(now, event.complete(), updates);
    }
    if (startedWithoutList && newer) {
      startedWithoutList = false;
      policy.onEndpointsUnknown(now, false);
      LOG.info("discovery service answers; endpoint list version {}", event.serial());
    }
    return updates != null;
  }

  /**
   * Applies the cached list, because the discovery service is unavailable. Without a usable cached
   * list the policy is notified that the engines are unknown.
   */
  private void startWithoutList(long now) {
    EndpointCache.CachedList cached = endpointCache.loadAtStart(now);
    startedWithoutList = true;
    if (cached.engines() == null) {
      policy.onEndpointsUnknown(now, true);
      LOG.warn(
          "no endpoint list from the discovery service and no usable cached one; rejecting all"
              + " requests");
    } else {
      policy.onEndpointsChanged(now, true, endpoints.restore(cached));
      LOG.atWarn()
          .addKeyValue("engines", cached.engines().entries().size())
          .addKeyValue("trust", cached.trust().values().stream().findFirst().orElse(0.0))
          .log("no endpoint list from the discovery service; starting from the cached one");
    }
  }
}
