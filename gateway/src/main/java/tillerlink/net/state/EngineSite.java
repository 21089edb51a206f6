package tillerlink.net.state;

import java.net.InetSocketAddress;
import tillerlink.model.Engine;
import tillerlink.net.wire.EngineEntry;

/** Where an engine is, and how it is reached. */
public final class EngineSite {
    public final String id;
    public final Engine engine = new Engine(this);
    Carrier carrier;
    /** As it was last told whole, or null. */
    EngineEntry entry;
    private InetSocketAddress address;
    private long startedMs;

    EngineSite(String id) {
        this.id = id;
    }

    public InetSocketAddress address() {
        return address;
    }

    /** What the list says now. Another address or start is another process: nothing meant for it goes to the old. */
    void at(EngineEntry entry) {
        if (entry.standing() != Engine.Standing.GONE) {
            InetSocketAddress told = new InetSocketAddress(entry.address(), entry.port());
            if (!told.equals(address) || entry.startedMs() != startedMs) {
                carrier.retireAll();
            }
            address = told;
            startedMs = entry.startedMs();
            this.entry = entry;
        }
    }

    /** Whether new work may go there. */
    public boolean ready() {
        return engine.standing == Engine.Standing.READY;
    }
}
