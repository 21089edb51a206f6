package tillerlink.emulator;

import tillerlink.net.state.Break;
import tillerlink.net.state.Pipe;
import tillerlink.standin.EngineCommands;
import tillerlink.standin.EngineCommands.Command;

/** A connection from a gateway to an engine: bytes take a while, in order; a machine that is silent swallows them. */
final class Link implements Pipe, Peer {
    private final World world;
    private final Seat seat;
    private final int life;
    private final Owner owner;
    private final EmulatedEngine engine;
    private final long delay;
    private final HopWatch hops;
    private final EngineCommands reader = new EngineCommands();
    /** What goes out at the gateway: the same reader as at the other end. */
    private final EngineCommands outgoing = new EngineCommands();
    private boolean up;
    private boolean over;

    Link(World world, Seat seat, Owner owner, EmulatedEngine engine, long delay) {
        this.world = world;
        this.seat = seat;
        this.owner = owner;
        this.engine = engine;
        this.delay = delay;
        life = seat.life();
        hops = new HopWatch(world.auditor, seat.place, engine == null ? "?" : engine.spec.name());
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
            seat.post(life, owner::opened);
        }
    }

    @Override
    public void write(byte[] bytes) {
        outgoing.feed(bytes);
        for (Command command = outgoing.next(); command != null; command = outgoing.next()) {
            hops.goesOut(world.now(), command);
        }
        seat.post(life, owner::written);
        world.timeline.at(world.now() + delay, () -> arrive(bytes));
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

    /** It reaches the gateway a while later. */
    @Override
    public void say(byte[] bytes) {
        world.timeline.at(world.now() + delay, () -> {
            if (!over) {
                hops.comesBack(bytes);
                seat.post(life, () -> {
                    if (!over) {
                        owner.fed(bytes);
                    }
                });
            }
        });
    }

    /** The gateway hears of it a while later. */
    @Override
    public void cut(Break how) {
        if (!over) {
            world.timeline.at(world.now() + delay, () -> {
                if (!over) {
                    end(how == Break.REFUSED);
                    seat.post(life, () -> owner.ended(how));
                }
            });
        }
    }

    private void end(boolean provesIdle) {
        over = true;
        seat.forget(this);
        hops.ended(provesIdle);
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
