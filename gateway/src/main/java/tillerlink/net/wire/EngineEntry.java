package tillerlink.net.wire;

import tillerlink.model.Engine;

/** One engine as the name service tells it; {@code startedMs} is Unix milliseconds, 0 for long ago. */
public record EngineEntry(String id, String address, int port, String zone, String kind, int cell,
                          Engine.Standing standing, double weight, long startedMs) {
}
