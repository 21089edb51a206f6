package tillerlink.net.state;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tillerlink.model.EndpointUpdate;
import tillerlink.model.Engine.Status;
import tillerlink.model.Settings;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.net.wire.EndpointWatchEvent;
import tillerlink.telemetry.EventLog.Topic;
import tillerlink.telemetry.Telemetry;

/**
 * The endpoint list: the engines by their ids as last published, each with its transport. Confined
 * to the event-loop thread; all times are tenths of a millisecond.
 */
final class EndpointList {
  private final Map<String, EngineAddress> engines = new LinkedHashMap<>();
  private final List<?> kinds;
  private final List<?> zones;
  private final EndpointListStatus status;

  /** The serial of the newest partial watch event that was applied. */
  private long partialSerial;

  /**
   * The time at which a complete list was last applied; {@link Long#MIN_VALUE} if none was. A
   * process that is new in a later list was not running at that time, which limits its start time.
   */
  private long completeListAppliedAt = Long.MIN_VALUE;

  private final Telemetry telemetry;
  private final EngineTransport.Owner owner;
  private final EngineTransport.Factory transports;

  EndpointList(
      Settings settings,
      Telemetry telemetry,
      EndpointListStatus status,
      EngineTransport.Owner owner,
      EngineTransport.Factory transports) {
    this.telemetry = telemetry;
    this.status = status;
    this.owner = owner;
    this.transports = transports;
    kinds = settings.list("models");
    zones = settings.list("zones");
  }

  /**
   * Applies a watch event.
   *
   * @return the updates for the dispatch policy, or null if the event is not newer than the list
   */
  List<EndpointUpdate> apply(EndpointWatchEvent event) {
    if (event.serial() <= serial() || event.serial() < partialSerial) {
      return null;
    }
    if (event.partial()) {
      partialSerial = event.serial();
    } else {
      status.setVersion(event.serial());
    }
    return update(event, Map.of());
  }

  /**
   * Returns a partial watch event with each entry that contains only a status completed from the
   * stored list. Guards the drain rule: a drain is obeyed even if the rest of the answer was lost.
   * An entry without an address for an engine that is not in the list is left out, because a new
   * engine can wait for the whole answer. An event that is not partial is returned unchanged.
   */
  EndpointWatchEvent complete(EndpointWatchEvent event) {
    if (!event.partial()) {
      return event;
    }
    List<EndpointEntry> entries = new ArrayList<>();
    for (EndpointEntry entry : event.entries()) {
      EngineAddress engineAddress = engines.get(entry.id());
      if (entry.address() != null) {
        entries.add(entry);
      } else if (engineAddress != null && engineAddress.entry != null) {
        entries.add(engineAddress.entry.withStatus(entry.standing()));
      }
    }
    return new EndpointWatchEvent(event.serial(), false, true, entries);
  }

  /**
   * Applies the cached list without setting a version, so that any later watch event counts as
   * newer.
   */
  List<EndpointUpdate> restore(EndpointCache.CachedList cached) {
    return update(cached.engines(), cached.trust());
  }

  private List<EndpointUpdate> update(EndpointWatchEvent event, Map<String, Double> trust) {
    List<EndpointUpdate> updates = new ArrayList<>(event.entries().size());
    for (EndpointEntry entry : event.entries()) {
      EngineAddress engineAddress = engines.get(entry.id());
      if (engineAddress == null) {
        engineAddress = new EngineAddress(entry.id());
        engineAddress.transport = transports.create(owner, engineAddress, entry.kind());
        engines.put(entry.id(), engineAddress);
      }
      engineAddress.update(entry, owner.now(), completeListAppliedAt);
      logChange(engineAddress, entry, event.serial());
      updates.add(
          new EndpointUpdate(
              engineAddress.engine,
              indexOf(kinds, entry.kind()),
              indexOf(zones, entry.zone()),
              entry.cell(),
              entry.weight(),
              entry.standing(),
              engineAddress.startedAt(),
              trust.getOrDefault(entry.id(), 1.0)));
    }
    if (event.complete()) {
      completeListAppliedAt = owner.now();
    }
    return updates;
  }

  private void logChange(EngineAddress engineAddress, EndpointEntry entry, long version) {
    if (engineAddress.engine.status != entry.standing()) {
      telemetry
          .log()
          .event(
              owner.now(),
              Topic.ENGINE,
              "engine state changed",
              "engine",
              engineAddress.id,
              "from",
              engineAddress.engine.status,
              "to",
              entry.standing(),
              "version",
              version,
              "address",
              engineAddress.socketAddress());
    }
  }

  /**
   * Forgets when a complete list was last applied. Called for lists of unknown age, because such a
   * list does not show at what time a process was not yet running.
   */
  void forgetListTime() {
    completeListAppliedAt = Long.MIN_VALUE;
  }

  /**
   * Returns the index of a name in a list of the settings, or the length of the list if it does not
   * contain the name.
   */
  private static int indexOf(List<?> names, String name) {
    int index = names.indexOf(name);
    return index < 0 ? names.size() : index;
  }

  /**
   * Checks the time-outs of all connections, retires connections to engines that are gone, and
   * removes such an engine once it has neither connections nor attempts in flight.
   *
   * @param connectTimeout how long a connection may take to open, in tenths of a millisecond
   * @param idleTimeout how long a connection may be idle, in tenths of a millisecond
   */
  void checkTimeouts(long connectTimeout, long idleTimeout) {
    for (Iterator<EngineAddress> iterator = engines.values().iterator(); iterator.hasNext(); ) {
      EngineAddress engineAddress = iterator.next();
      engineAddress.transport.checkTimeouts(connectTimeout, idleTimeout);
      if (engineAddress.engine.status == Status.GONE) {
        engineAddress.transport.retireConnections();
        if (engineAddress.transport.isEmpty() && engineAddress.engine.inFlight.isEmpty()) {
          iterator.remove();
        }
      }
    }
  }

  /**
   * Closes the connection that has been idle longest.
   *
   * @return whether a connection was closed; false if none is idle
   */
  boolean closeLongestIdle() {
    EngineTransport longestIdle = null;
    for (EngineAddress engineAddress : engines.values()) {
      if (engineAddress.transport.idleSince()
          < (longestIdle == null ? Long.MAX_VALUE : longestIdle.idleSince())) {
        longestIdle = engineAddress.transport;
      }
    }
    if (longestIdle != null) {
      longestIdle.closeIdle();
    }
    return longestIdle != null;
  }

  /** Returns the number of engines, but at least 1, so that limits can be divided by it. */
  int size() {
    return Math.max(1, engines.size());
  }

  /** Returns the serial of the newest complete watch event that was applied. */
  long serial() {
    return status.version();
  }
}
