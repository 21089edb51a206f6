package tillerlink.emulator;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tillerlink.fakes.DiscoveryResponse;
import tillerlink.model.Engine.Status;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.net.wire.EndpointWatchEvent;

/** The endpoint list of the emulated discovery service, with its version. */
final class EmulatedDiscovery {
  private final Map<String, EndpointEntry> endpoints = new LinkedHashMap<>();
  private long version = 1;

  /** The encoded response with the present list, or null until it is asked for. */
  private byte[] response;

  List<EndpointEntry> list() {
    return List.copyOf(endpoints.values());
  }

  /** Adds or replaces an entry. */
  void put(EndpointEntry entry) {
    endpoints.put(entry.id(), entry);
    version++;
    response = null;
  }

  /** Changes the status of an engine, if it is in the list. */
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

  /** Lists an engine as gone and drops its entry. */
  void remove(String engine) {
    update(engine, Status.GONE);
    endpoints.remove(engine);
  }

  /** The full list as a watch event. */
  EndpointWatchEvent watchEvent() {
    return new EndpointWatchEvent(version, true, list());
  }

  /** The response to a query, with the id 0. */
  byte[] response() {
    if (response == null) {
      response = DiscoveryResponse.of(0, version, list());
    }
    return response;
  }
}
