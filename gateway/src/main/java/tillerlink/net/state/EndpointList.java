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

/** The engines as last told. */
final class EndpointList {
  private final Map<String, EngineAddress> engines = new LinkedHashMap<>();
  private final List<?> kinds;
  private final List<?> zones;
  private final EndpointListStatus status;

  /** The newest news that were not whole. */
  private long partialIndex;

  /**
   * When a whole list was told last: what is new in a later one was not there then; never, at
   * first.
   */
  private long listedAt = Long.MIN_VALUE;

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

  /** What is new in the news, or null if they are older than what is known. */
  List<EndpointUpdate> take(EndpointWatchEvent news) {
    if (news.index() <= index() || news.index() < partialIndex) {
      return null;
    }
    if (news.partial()) {
      partialIndex = news.index();
    } else {
      status.setVersion(news.index());
    }
    return listed(news, Map.of());
  }

  /**
   * Partial news with what is known put in where only the standing was told. Guards the drain: it
   * is obeyed though the rest of the answer was lost. What is not known yet can wait.
   */
  EndpointWatchEvent filled(EndpointWatchEvent news) {
    if (!news.partial()) {
      return news;
    }
    List<EndpointEntry> entries = new ArrayList<>();
    for (EndpointEntry entry : news.entries()) {
      EngineAddress engineAddress = engines.get(entry.id());
      if (entry.address() != null) {
        entries.add(entry);
      } else if (engineAddress != null && engineAddress.entry != null) {
        entries.add(engineAddress.entry.as(entry.standing()));
      }
    }
    return new EndpointWatchEvent(news.index(), false, true, entries);
  }

  /** What was remembered; any news are newer. */
  List<EndpointUpdate> remember(EndpointCache.Remembered remembered) {
    return listed(remembered.engines(), remembered.trust());
  }

  private List<EndpointUpdate> listed(EndpointWatchEvent news, Map<String, Double> trust) {
    List<EndpointUpdate> listed = new ArrayList<>(news.entries().size());
    for (EndpointEntry entry : news.entries()) {
      EngineAddress engineAddress = engines.get(entry.id());
      if (engineAddress == null) {
        engineAddress = new EngineAddress(entry.id());
        engineAddress.transport = transports.create(owner, engineAddress, entry.kind());
        engines.put(entry.id(), engineAddress);
      }
      engineAddress.update(entry, owner.now(), listedAt);
      logChange(engineAddress, entry, news.index());
      listed.add(
          new EndpointUpdate(
              engineAddress.engine,
              place(kinds, entry.kind()),
              place(zones, entry.zone()),
              entry.cell(),
              entry.weight(),
              entry.standing(),
              engineAddress.startedAt(),
              trust.getOrDefault(entry.id(), 1.0)));
    }
    if (news.whole()) {
      listedAt = owner.now();
    }
    return listed;
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

  /** What was told so far may be of any age: it does not say when a process was not there yet. */
  void listedLongAgo() {
    listedAt = Long.MIN_VALUE;
  }

  /** A name that the settings don't know stands behind all that they do. */
  private static int place(List<?> names, String name) {
    int place = names.indexOf(name);
    return place < 0 ? names.size() : place;
  }

  /** Looks after the connections; closes what leads to engines that are gone, and forgets these. */
  void sweep(long connectMost, long idleMost) {
    for (Iterator<EngineAddress> i = engines.values().iterator(); i.hasNext(); ) {
      EngineAddress engineAddress = i.next();
      engineAddress.transport.checkTimeouts(connectMost, idleMost);
      if (engineAddress.engine.status == Status.GONE) {
        engineAddress.transport.retireConnections();
        if (engineAddress.transport.isEmpty() && engineAddress.engine.inFlight.isEmpty()) {
          i.remove();
        }
      }
    }
  }

  /** Ends the connection that has been idle longest; false if none is idle. */
  boolean endIdle() {
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
