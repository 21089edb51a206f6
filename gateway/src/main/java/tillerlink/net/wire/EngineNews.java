package tillerlink.net.wire;

import java.util.List;

/** News of the name service: the number of its last event, and all engines or only what changed. */
public record EngineNews(long index, boolean whole, List<EngineEntry> entries) {
}
