package tillerlink.emulator;

import java.util.LinkedHashSet;
import java.util.Set;
import tillerlink.net.state.Break;
import tillerlink.net.state.Pipe;
import tillerlink.standin.EngineCommands;
import tillerlink.standin.EngineCommands.Command;

/** A connection from a gateway to an engine: bytes take a while, in order; a machine that is silent swallows them. */
final class Link implements Pipe {
    private final World world;
    private final Seat seat;
    private final Owner owner;
    private final EmulatedEngine engine;
    private final long delay;
    private final EngineCommands reader = new EngineCommands();
    /** What goes out at the gateway, as the auditor sees it: the same reader at the other end. */
    private final EngineCommands outgoing = new EngineCommands();
    private final Set<String> hops = new LinkedHashSet<>();
    private boolean up;
    private boolean over;

    Link(World world, Seat seat, Owner owner, EmulatedEngine engine, long delay) {
        this.world = world;
        this.seat = seat;
        this.owner = owner;
        this.engine = engine;
        this.delay = delay;
        world.timeline.at(world.now() + 2 * delay, this::comeUp);
    }

    private void comeUp() {
        if (over) {
            return;
        }
        if (engine == null || engine.isEnded()) {
            cut(Break.REFUSED);
        } else if (engine.takesConnections()) {
            up = true;
            engine.connected(this);
            seat.post(owner::opened);
        }
    }

    @Override
    public void write(byte[] bytes) {
        outgoing.feed(bytes);
        for (Command command = outgoing.next(); command != null; command = outgoing.next()) {
            goesOut(command);
        }
        seat.post(owner::written);
        world.timeline.at(world.now() + delay, () -> arrive(bytes));
    }

    private void goesOut(Command command) {
        switch (command.word()) {
            case WANT -> {
                hops.add(command.id());
                world.auditor.sent(world.now(), seat.place, engine.spec.name(), command.id());
            }
            case NEVER_MIND -> hopOver(command.id(), false);
            default -> { }
        }
    }

    private void hopOver(String id, boolean provesIdle) {
        if (hops.remove(id)) {
            world.auditor.over(id, provesIdle);
        }
    }

    private void arrive(byte[] bytes) {
        if (over || engine.isSilent()) {
            return;
        }
        reader.feed(bytes);
        for (Command command = reader.next(); command != null; command = reader.next()) {
            engine.heard(this, command);
        }
    }

    /** The engine says something; it reaches the gateway a while later. */
    void say(byte[] bytes) {
        world.timeline.at(world.now() + delay, () -> {
            if (!over) {
                note(bytes);
                seat.post(() -> {
                    if (!over) {
                        owner.fed(bytes);
                    }
                });
            }
        });
    }

    /** What ends a hop, as the gateway is about to learn it. */
    private void note(byte[] bytes) {
        int space = 0;
        while (bytes[space] != ' ') {
            space++;
        }
        String id = new String(bytes, 0, space, java.nio.charset.StandardCharsets.ISO_8859_1);
        switch (bytes[space + 1]) {
            case 'r' -> hopOver(id, true);
            case 'o', 'e' -> hopOver(id, false);
            default -> { }
        }
    }

    /** It breaks; the gateway hears of it a while later. */
    void cut(Break how) {
        if (!over) {
            world.timeline.at(world.now() + delay, () -> {
                if (!over) {
                    end(how == Break.REFUSED);
                    seat.post(() -> owner.ended(how));
                }
            });
        }
    }

    private void end(boolean provesIdle) {
        over = true;
        for (String id : Set.copyOf(hops)) {
            hopOver(id, provesIdle);
        }
        if (up) {
            engine.disconnected(this);
        }
    }

    @Override
    public void close() {
        drop();
    }

    @Override
    public void drop() {
        if (!over) {
            end(!up);
        }
    }

    @Override
    public void hold(boolean held) {
        // Only clients are held.
    }
}
