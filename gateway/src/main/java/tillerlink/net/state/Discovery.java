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
 * What discovery tells of the engines, or is remembered of them while it tells nothing, reaches the
 * module.
 */
final class Discovery {
  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);

  private final EndpointList engines;
  private final DispatchPolicy policy;
  private final InvariantMonitor invariants;
  private final EndpointCache endpointCache;
  private final Telemetry telemetry;

  /** No list was told since the start. */
  private boolean blind;

  /**
   * @param endpointCache what is remembered across restarts; null: nothing
   */
  Discovery(
      EndpointList engines,
      DispatchPolicy policy,
      InvariantMonitor invariants,
      EndpointCache endpointCache,
      Telemetry telemetry) {
    this.invariants = invariants;
    this.engines = engines;
    this.policy = policy;
    this.endpointCache = endpointCache;
    this.telemetry = telemetry;
  }

  /**
   * Whether it goes by what is remembered, whose trust the module weighs, until discovery answers.
   */
  boolean goesByMemory() {
    return blind;
  }

  /** What was known at the start. */
  void start(long now, List<EndpointWatchEvent> known) {
    known.forEach(news -> listed(now, news));
    engines.listedLongAgo();
    if (endpointCache != null && known.stream().allMatch(news -> news.entries().isEmpty())) {
      startBlind(now);
    }
  }

  /** Whether the module was told anything. */
  boolean listed(long now, EndpointWatchEvent came) {
    EndpointWatchEvent told = engines.filled(came);
    boolean newer = told.index() > engines.index();
    EndpointWatchEvent news =
        endpointCache != null && newer ? endpointCache.onEndpointsReceived(now, told) : told;
    List<EndpointUpdate> entries = engines.take(news);
    if (entries != null) {
      telemetry
          .log()
          .event(
              now,
              Topic.DISCOVERY,
              "endpoint list updated",
              "version",
              news.index(),
              "engines",
              entries.size(),
              "whole",
              news.whole(),
              "newer",
              newer);
      invariants.listed(now, news.whole(), entries);
      policy.onEndpointsChanged(now, news.whole(), entries);
    }
    if (blind && newer) {
      blind = false;
      policy.onEndpointsUnknown(now, false);
      LOG.info("discovery service answers; endpoint list version {}", news.index());
    }
    return entries != null;
  }

  /** Discovery told nothing: the gateway goes by what it remembers, or by nothing at all. */
  private void startBlind(long now) {
    EndpointCache.Remembered remembered = endpointCache.loadAtStart(now);
    blind = true;
    if (remembered.engines() == null) {
      policy.onEndpointsUnknown(now, true);
      LOG.warn(
          "no endpoint list from the discovery service and no usable cached one; rejecting all"
              + " requests");
    } else {
      policy.onEndpointsChanged(now, true, engines.remember(remembered));
      LOG.atWarn()
          .addKeyValue("engines", remembered.engines().entries().size())
          .addKeyValue("trust", remembered.trust().values().stream().findFirst().orElse(0.0))
          .log("no endpoint list from the discovery service; starting from the cached one");
    }
  }
}
