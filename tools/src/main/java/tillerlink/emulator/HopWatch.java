package tillerlink.emulator;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import tillerlink.audit.Auditor;
import tillerlink.standin.EngineCommands.Command;

/** Tells the auditor of the hops on one connection, from what crosses it. */
public final class HopWatch {
    private final Auditor auditor;
    private final int gateway;
    private final String engine;
    private final Set<String> hops = new LinkedHashSet<>();

    public HopWatch(Auditor auditor, int gateway, String engine) {
        this.auditor = auditor;
        this.gateway = gateway;
        this.engine = engine;
    }

    /** A gateway says something. */
    public void goesOut(long now, Command command) {
        switch (command.word()) {
            case WANT -> {
                hops.add(command.id());
                auditor.sent(now, gateway, engine, command.id());
            }
            case NEVER_MIND -> over(command.id(), false);
            default -> { }
        }
    }

    private void over(String id, boolean provesIdle) {
        if (hops.remove(id)) {
            auditor.over(id, provesIdle);
        }
    }

    /** The engine says something, one word; what ends a hop is taken as the gateway is about to learn it. */
    public void comesBack(byte[] bytes) {
        int space = 0;
        while (bytes[space] != ' ') {
            space++;
        }
        String id = new String(bytes, 0, space, StandardCharsets.ISO_8859_1);
        switch (bytes[space + 1]) {
            case 'r' -> over(id, true);
            case 'o', 'e' -> over(id, false);
            default -> { }
        }
    }

    /** The connection is over. */
    public void ended(boolean provesIdle) {
        Set.copyOf(hops).stream().sorted().forEach(id -> over(id, provesIdle));
    }
}
