package tillerlink.emulator;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tillerlink.fakes.DiscoveryResponse;
import tillerlink.model.Engine.Status;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.net.wire.EndpointWatchEvent;

/** The emulated discovery service, with its endpoint list and the list's version. */
final class EmulatedDiscovery {
  private final Map<String, EndpointEntry> endpoints = new LinkedHashMap<>();
  private long version = 1;

  /** The encoded response with the current list; null until the first query after a change. */
  private byte[] response;

  /** Returns the current endpoint list. */
  List<EndpointEntry> list() {
    return List.copyOf(endpoints.values());
  }

  /** Adds an entry, or replaces the one of the same engine. */
  void put(EndpointEntry entry) {
    endpoints.put(entry.id(), entry);
    version++;
    response = null;
  }

  /** Changes the status of an engine; does nothing if it is not in the list. */
  void update(String engine, Status status) {
    EndpointEntry entry = endpoints.get(engine);
    if (entry != null) {
      put(
          new EndpointEntry(
              entry.id(),
              entry.address(),
              entry.port(),
              entry.zone(),
              entry.kind(),
              entry.cell(),
              status,
              entry.weight(),
              entry.startedMs()));
    }
  }

  /** Removes the entry of an engine, and raises the version if it had one. */
  void remove(String engine) {
    update(engine, Status.GONE);
    endpoints.remove(engine);
  }

  /** Returns a watch event with the complete list. */
  EndpointWatchEvent watchEvent() {
    return new EndpointWatchEvent(version, true, list());
  }

  /** Returns the response to a query, with the query id 0; callers must not change it. */
  byte[] response() {
    if (response == null) {
      response = DiscoveryResponse.of(0, version, list());
    }
    return response;
  }
}
