package tillerlink.net.state;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.model.Hop;
import tillerlink.model.Named;
import tillerlink.model.Note;
import tillerlink.model.Outcome;
import tillerlink.model.Submission;
import tillerlink.net.wire.Assignment;
import tillerlink.net.wire.Rows;
import tillerlink.plain.PlainNames;
import tillerlink.plain.Units;
import tillerlink.port.Orders;
import tillerlink.port.Steering;
import tillerlink.port.SteeringFactory;

/**
 * One gateway's state and its door to the module: what clients, engines and the name service say becomes events,
 * orders become what is said to them. One thread owns it; a turn is {@link #begin}, whatever came, {@link #settle}.
 */
public final class Gateway implements Orders, Carrier.Owner {
    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
    private static final long COUNT_EVERY = 10_000 * Units.TENTHS_PER_MS;
    private static final long CONNECT_MOST = 1000 * Units.TENTHS_PER_MS;
    private static final long IDLE_MOST = 30_000 * Units.TENTHS_PER_MS;
    private static final long GRACE = 500 * Units.TENTHS_PER_MS;
    private static final int HEAP_SHARE = 4;

    private final Driver driver;
    private final ClientDoor clients;
    private final EngineList engines;
    private final NameService names;
    private final Discovery discovery;
    private final Guarded guarded;
    /** What stands beside the module, or null. */
    private Side side;
    private final Steering steering;
    private final Rarely rarely = new Rarely();
    private final ArrayDeque<Runnable> next = new ArrayDeque<>();
    private final long connectMost;
    /** What is looked after on connections falls due after halves and wholes of the connect time-out. */
    private final long sweepEvery;
    private final long idleMost;
    private final int linksMost;
    private int links;
    private long now;
    private long wakeAt = Long.MAX_VALUE;
    private long sweepAt;
    private long countAt;
    /** The module was told something and has not settled it. */
    private boolean unsettled;

    public Gateway(Assignment assignment, SteeringFactory factory, Driver driver, long now) {
        this(assignment, factory, driver, now, null, null);
    }

    /** With a bound by this process' heap on what is kept for clients. */
    public Gateway(Assignment assignment, SteeringFactory factory, Driver driver, long now, Carrier.Factory carriers,
                   Recall recall) {
        this(assignment, factory, driver, now, Runtime.getRuntime().maxMemory() / HEAP_SHARE, carriers, recall);
    }

    /**
     * @param bytesMost how much may be kept for clients; beyond it no submission is taken
     * @param carriers  how engines are reached, by their kinds; null, or null for an engine: over engine lines
     * @param recall    what is remembered across restarts; null: nothing
     */
    public Gateway(Assignment assignment, SteeringFactory factory, Driver driver, long now, long bytesMost,
                   Carrier.Factory carriers, Recall recall) {
        this.driver = driver;
        this.now = now;
        Map<String, Object> plain = PlainNames.of(assignment.terms());
        Named terms = new Named(plain);
        int streams = (int) Math.max(1, terms.number("caps.streams_per_conn", 1));
        connectMost = terms.number("caps.connect_timeout", CONNECT_MOST);
        sweepEvery = Math.max(1, connectMost / 2);
        idleMost = terms.number("caps.conn_idle", IDLE_MOST) / 2;
        linksMost = assignment.linksMost();
        countAt = now + COUNT_EVERY;
        clients = new ClientDoor(this, terms, assignment.clientsMost(), bytesMost);
        guarded = new Guarded(this, clients);
        engines = new EngineList(terms, this, (owner, site, kind) -> {
            Carrier carrier = carriers == null ? null : carriers.of(owner, site, kind);
            return carrier == null ? new LineCarrier(owner, site, streams) : carrier;
        });
        names = new NameService(driver, assignment.seed(), now, terms.number("guarantees.drain_grace", GRACE));
        steering = factory.start(now, assignment.seed(), plain, this);
        discovery = new Discovery(engines, steering, recall);
        discovery.start(now, assignment.known());
        unsettled = true;
    }

    /** What stands beside the module from now on. */
    public void beside(Side stands) {
        side = stands;
        clients.beside(stands);
    }

    /** What the one beside may ask for. */
    public Side.Door door() {
        return guarded;
    }

    // ---- turns ----

    @Override
    public long now() {
        return now;
    }

    /** A turn begins; nothing in it is earlier than the turn before. */
    public void begin(long clock) {
        now = Math.max(now, clock);
        if (side != null) {
            side.begin(now);
        }
        for (int i = next.size(); i > 0; i--) {
            next.poll().run();
        }
    }

    /** All that came in this turn was told: what is due follows, then the module settles once. */
    public void settle() {
        if (now >= sweepAt) {
            sweepAt = now + sweepEvery;
            sweep();
        }
        if (side != null) {
            side.settle(now);
        }
        if (now >= wakeAt) {
            wakeAt = Long.MAX_VALUE;
            steering.woken(now);
            unsettled = true;
        }
        if (unsettled) {
            unsettled = false;
            steering.settle(now);
        }
        driver.flush();
    }

    /** When the next turn is due though nothing comes. */
    public long dueAt() {
        long dueAt = next.isEmpty() ? Math.min(wakeAt, sweepAt) : now;
        return side == null ? dueAt : Math.min(dueAt, side.dueAt());
    }

    private void sweep() {
        names.sweep(now);
        engines.sweep(connectMost, idleMost);
        clients.sweep();
        if (now >= countAt) {
            countAt = now + COUNT_EVERY;
            LOG.atInfo().addKeyValue("links", links).addKeyValue("list", engines.index()).log("{}", clients);
        }
    }

    // ---- clients ----

    /** A client has connected. */
    public Pipe.Owner accepted(Pipe pipe) {
        return clients.accepted(pipe);
    }

    void arrived(Call call) {
        steering.arrived(now, call.submission);
        unsettled = true;
    }

    void left(Call call) {
        steering.left(now, call.submission);
        unsettled = true;
    }

    /** The client's time is up: hops that are still out end so. The engine knows the limit and is told nothing. */
    void overdue(Call call) {
        call.flights.forEach(flight -> ended(flight, Outcome.OVERDUE));
    }

    @Override
    public void held(long more) {
        clients.held(more);
    }

    // ---- engines ----

    @Override
    public void noted(Flight flight, Note note, double level) {
        steering.noted(now, flight.hop, note, level);
        unsettled = true;
    }

    @Override
    public void written(Flight flight) {
        guarded.written(flight);
    }

    @Override
    public void ended(Flight flight, Outcome how) {
        if (!flight.hop.isOut()) {
            return;
        }
        carrier(flight).release(flight);
        Outcome outcome = flight.guarded() ? guarded.ended(flight, how) : how;
        if (outcome == Outcome.FULFILLED) {
            clients.fulfil(flight.call, Rows.answer(flight.pages));
        }
        flight.forgetAnswer();
        held(-flight.bytes);
        long lag = now - flight.hop.sentAt;
        steering.ended(now, flight.hop, outcome, lag, flight.call.settled(), 0, 0, null);
        unsettled = true;
    }

    private static Carrier carrier(Flight flight) {
        return ((EngineSite) flight.hop.engine.tag).carrier;
    }

    @Override
    public void later(Runnable what) {
        next.add(what);
    }

    @Override
    public Pipe dial(InetSocketAddress to, Pipe.Owner owner) {
        return driver.dial(to, owner);
    }

    @Override
    public int linksMost() {
        return linksMost;
    }

    @Override
    public int links() {
        return links;
    }

    @Override
    public boolean roomForLink() {
        return links < linksMost || engines.endIdle();
    }

    @Override
    public int engines() {
        return engines.size();
    }

    @Override
    public void counted(int more) {
        links += more;
    }

    // ---- the name service ----

    /** A datagram of the name service. */
    public void told(byte[] datagram) {
        try {
            unsettled |= discovery.listed(now, names.take(datagram));
        } catch (IllegalArgumentException e) {
            rarely("name service: " + e.getMessage());
        }
    }

    // ---- orders ----

    @Override
    public void terms(Submission submission, int rank, long grant) {
        // This protocol has no word for either.
    }

    @Override
    public void send(Hop hop) {
        Call call = (Call) hop.submission.tag;
        Flight flight = new Flight(hop, call);
        call.flights.add(flight);
        if (flight.mayBePlaced()) {
            carrier(flight).send(flight);
        } else {
            next.add(() -> ended(flight, Outcome.NEVER_SENT));
        }
    }

    @Override
    public void callOff(Hop hop) {
        Flight flight = ((Call) hop.submission.tag).flights.get(hop.number);
        if (hop.isOut()) {
            Outcome outcome = carrier(flight).giveUp(flight);
            next.add(() -> ended(flight, outcome));
        }
    }

    @Override
    public void turnBack(Submission submission, long comeBack) {
        clients.turnBack((Call) submission.tag, comeBack);
    }

    @Override
    public void breakOff(Submission submission) {
        clients.breakOff((Call) submission.tag);
    }

    @Override
    public void wake(long at) {
        wakeAt = Math.min(wakeAt, at);
    }

    @Override
    public void follow() {
        // The name service is asked all the time.
    }

    @Override
    public void log(String line) {
        rarely(line);
    }

    @Override
    public void rarely(String line) {
        rarely.warn(now, line);
    }

    // ---- the end ----

    /** From now on the gateway is on its way out; it goes on serving what comes. */
    public void drain() {
        clients.drain();
        if (side != null) {
            side.drain();
        }
    }

    /** No client waits longer than this. */
    public long longestHardStop() {
        return clients.longestHardStop();
    }

    /** Whether every answer is out. */
    public boolean allAnswered() {
        return clients.allAnswered();
    }

    /** Time is up: what is left is broken off, which promises nothing and so is always allowed. */
    public void breakOffAll() {
        if (side != null) {
            side.timeUp();
        }
        for (Call call : clients.owed()) {
            clients.breakOff(call);
            left(call);
        }
    }
}
