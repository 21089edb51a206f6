package tillerlink.net.state;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import tillerlink.model.Engine;
import tillerlink.net.wire.EngineEntry;

/** Where an engine is, and the connections to it. */
final class EngineSite {
    final String id;
    final Engine engine = new Engine(this);
    final List<EngineLink> links = new ArrayList<>(2);
    InetSocketAddress address;
    private long startedMs;

    EngineSite(String id) {
        this.id = id;
    }

    /** What the list says now. Another address or start is another process: nothing meant for it goes to the old. */
    void at(EngineEntry entry) {
        if (entry.standing() != Engine.Standing.GONE) {
            InetSocketAddress told = new InetSocketAddress(entry.address(), entry.port());
            if (!told.equals(address) || entry.startedMs() != startedMs) {
                retireAll();
            }
            address = told;
            startedMs = entry.startedMs();
        }
    }

    /** Whether new work may go there. */
    boolean ready() {
        return engine.standing == Engine.Standing.READY;
    }

    void retireAll() {
        List.copyOf(links).forEach(EngineLink::retire);
    }

    /** A new connection failed. */
    void nobodyThere() {
        List.copyOf(links).forEach(EngineLink::nobodyThere);
    }

    /** Whether the engine was seen to be there since then, on any connection. */
    boolean heardSince(long then) {
        return links.stream().anyMatch(link -> link.heardSince(then));
    }

    /** Of the connections with room for one more, the one that bears least, or null. */
    EngineLink roomy(String submission, int most) {
        EngineLink best = null;
        for (EngineLink link : links) {
            if (link.takes(submission, most) && (best == null || link.bears() < best.bears())) {
                best = link;
            }
        }
        return best;
    }
}
