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
 * The engines by their ids as last published, each with its transport. Owned by the event-loop
 * thread; all times are tenths of a millisecond.
 */
final class EndpointList {
  private final Map<String, EngineAddress> engines = new LinkedHashMap<>();
  private final List<?> kinds;
  private final List<?> zones;
  private final EndpointListStatus status;

  /** Number of the newest watch event that was not complete. */
  private long partialIndex;

  /**
   * When a whole list was last published: what is new in a later one was not there then; never, at
   * first.
   */
  private long wholeListAt = Long.MIN_VALUE;

  private final Telemetry telemetry;
  private final EngineTransport.Owner owner;
  private final EngineTransport.Factory transports;

  EndpointList(
      Settings terms,
      Telemetry telemetry,
      EndpointListStatus status,
      EngineTransport.Owner owner,
      EngineTransport.Factory transports) {
    this.telemetry = telemetry;
    this.status = status;
    this.owner = owner;
    this.transports = transports;
    kinds = terms.list("models");
    zones = terms.list("zones");
  }

  /** Applies a watch event; what it updates, or null if it is older than the list. */
  List<EndpointUpdate> apply(EndpointWatchEvent event) {
    if (event.index() <= index() || event.index() < partialIndex) {
      return null;
    }
    if (event.partial()) {
      partialIndex = event.index();
    } else {
      status.setVersion(event.index());
    }
    return update(event, Map.of());
  }

  /**
   * A partial watch event, completed by what is known where only the status was published. Guards
   * the drain: it is obeyed though the rest of the answer was lost. What is not known yet can wait.
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
        entries.add(engineAddress.entry.as(entry.standing()));
      }
    }
    return new EndpointWatchEvent(event.index(), false, true, entries);
  }

  /** Takes over the cached list; any watch event is newer. */
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
      engineAddress.update(entry, owner.now(), wholeListAt);
      logChange(engineAddress, entry, event.index());
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
    if (event.whole()) {
      wholeListAt = owner.now();
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

  /** What was published so far may be of any age: it does not say when a process was missing. */
  void forgetListTime() {
    wholeListAt = Long.MIN_VALUE;
  }

  /** The index of a name in the settings; one that they do not contain follows all others. */
  private static int indexOf(List<?> names, String name) {
    int index = names.indexOf(name);
    return index < 0 ? names.size() : index;
  }

  /** Checks connections; retires those to engines that are gone, and forgets these once empty. */
  void checkTimeouts(long connectTimeout, long idleTimeout) {
    for (Iterator<EngineAddress> i = engines.values().iterator(); i.hasNext(); ) {
      EngineAddress engineAddress = i.next();
      engineAddress.transport.checkTimeouts(connectTimeout, idleTimeout);
      if (engineAddress.engine.status == Status.GONE) {
        engineAddress.transport.retireConnections();
        if (engineAddress.transport.isEmpty() && engineAddress.engine.inFlight.isEmpty()) {
          i.remove();
        }
      }
    }
  }

  /** Closes the connection that has been idle longest; false if none is idle. */
  boolean closeLongestIdle() {
    EngineTransport longest = null;
    for (EngineAddress engineAddress : engines.values()) {
      if (engineAddress.transport.idleSince()
          < (longest == null ? Long.MAX_VALUE : longest.idleSince())) {
        longest = engineAddress.transport;
      }
    }
    if (longest != null) {
      longest.closeIdle();
    }
    return longest != null;
  }

  int size() {
    return Math.max(1, engines.size());
  }

  long index() {
    return status.version();
  }
}
