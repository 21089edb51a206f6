package tillerlink.net.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.model.Hop;
import tillerlink.model.Listed;
import tillerlink.model.Named;
import tillerlink.model.Note;
import tillerlink.model.Outcome;
import tillerlink.model.Submission;
import tillerlink.net.wire.Ask;
import tillerlink.net.wire.Assignment;
import tillerlink.net.wire.Dns;
import tillerlink.net.wire.EngineNews;
import tillerlink.net.wire.HttpAnswer;
import tillerlink.net.wire.HttpCall;
import tillerlink.net.wire.HttpFault;
import tillerlink.net.wire.HttpItem;
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
public final class Gateway implements Orders {
    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
    private static final String CALLS = "/v1/calls/";
    private static final String SUBMIT = "/v1/";
    private static final String HEALTH = "/healthz";
    private static final int OPEN_MOST = 4096;
    private static final long SWEEP_EVERY = 50 * Units.TENTHS_PER_MS;
    private static final long ASK_EVERY = 200 * Units.TENTHS_PER_MS;
    private static final long LINGER = 1000 * Units.TENTHS_PER_MS;
    private static final long CLIENT_IDLE_MOST = 30_000 * Units.TENTHS_PER_MS;
    private static final long CLIENT_STALLED_MOST = 10_000 * Units.TENTHS_PER_MS;
    private static final long COUNT_EVERY = 10_000 * Units.TENTHS_PER_MS;
    private static final int QUERIES_KEPT = 8;

    private final Driver driver;
    private final Named terms;
    private final Map<String, Integer> tracks = new HashMap<>();
    private final Map<String, Call> calls = new LinkedHashMap<>();
    private final Set<ClientLink> clients = new LinkedHashSet<>();
    private final EngineList engines;
    private final ArrayDeque<Runnable> next = new ArrayDeque<>();
    private final ArrayDeque<Integer> queries = new ArrayDeque<>();
    private final Random queryIds;
    private final Steering steering;
    private final int streams;
    private final int linksMost;
    private final long bytesMost;
    private long bytes;
    private int links;
    private long now;
    private long wakeAt = Long.MAX_VALUE;
    private long sweepAt;
    private long askAt;
    private long countAt;
    private long logAt;
    private long unlogged;
    private boolean told;
    private boolean draining;

    public Gateway(Assignment assignment, SteeringFactory factory, Driver driver, long now) {
        this.driver = driver;
        this.now = now;
        Map<String, Object> plain = PlainNames.of(assignment.terms());
        terms = new Named(plain);
        for (int i = 0; i < terms.number("profiles", 0); i++) {
            tracks.put(terms.text("profiles." + i + ".name"), i);
        }
        streams = (int) Math.max(1, terms.number("caps.streams_per_conn", 1));
        linksMost = assignment.linksMost();
        bytesMost = Runtime.getRuntime().maxMemory() / 4;
        queryIds = new Random(assignment.seed());
        engines = new EngineList(terms);
        steering = factory.start(now, assignment.seed(), plain, this);
        assignment.known().forEach(this::listed);
        told = true;
    }

    // ---- turns ----

    public long now() {
        return now;
    }

    /** A turn begins; nothing in it is earlier than the turn before. */
    public void begin(long clock) {
        now = Math.max(now, clock);
        for (int i = next.size(); i > 0; i--) {
            next.poll().run();
        }
    }

    /** All that came in this turn was told: what is due follows, then the module settles once. */
    public void settle() {
        if (now >= sweepAt) {
            sweepAt = now + SWEEP_EVERY;
            sweep();
        }
        if (now >= wakeAt) {
            wakeAt = Long.MAX_VALUE;
            steering.woken(now);
            told = true;
        }
        if (told) {
            told = false;
            steering.settle(now);
        }
        driver.flush();
    }

    /** When the next turn is due though nothing comes. */
    public long dueAt() {
        return next.isEmpty() ? Math.min(wakeAt, sweepAt) : now;
    }

    private void sweep() {
        if (now >= askAt) {
            askAt = now + ASK_EVERY;
            ask();
        }
        long connectMost = terms.number("caps.connect_timeout", LINGER);
        long idleMost = terms.number("caps.conn_idle", CLIENT_IDLE_MOST) / 2;
        for (EngineSite site : engines.all()) {
            for (EngineLink link : List.copyOf(site.links)) {
                link.sweep(connectMost, idleMost);
            }
        }
        engines.sweep();
        for (Iterator<Call> i = calls.values().iterator(); i.hasNext();) {
            Call call = i.next();
            if (now >= call.submission.leavesAt) {
                overdue(call);
            }
            if (now >= call.forgetAt + LINGER && call.settled() && call.submission.isOver()) {
                held(-call.ask.statement().length);
                held(call.answer == null ? 0 : -call.answer.body().length);
                i.remove();
            }
        }
        List.copyOf(clients).forEach(client -> client.sweep(CLIENT_STALLED_MOST, CLIENT_IDLE_MOST));
        if (now >= countAt) {
            countAt = now + COUNT_EVERY;
            LOG.info("{} submissions, {} client and {} engine connections, {} KB held, list {}", calls.size(),
                    clients.size(), links, bytes / 1024, engines.index());
        }
    }

    /** The client's time is up: hops that are still out end so. */
    private void overdue(Call call) {
        for (Flight flight : call.flights) {
            if (!flight.over && flight.link != null) {
                flight.link.giveUp(flight);
                ended(flight, Outcome.OVERDUE);
            }
        }
    }

    // ---- clients ----

    /** A client has connected. */
    public Pipe.Owner accepted(Pipe pipe) {
        ClientLink client = new ClientLink(this, pipe);
        clients.add(client);
        return client;
    }

    void forget(ClientLink client) {
        clients.remove(client);
    }

    void called(ClientLink client, HttpItem item) {
        if (item instanceof HttpFault fault) {
            client.answer(HttpAnswer.problem(fault.status(), fault.cause(), 0).ending());
            return;
        }
        HttpCall http = (HttpCall) item;
        if (http.last()) {
            client.lastCall();
        }
        String path = http.path();
        switch (http.method()) {
            case GET -> {
                if (path.equals(HEALTH)) {
                    client.answer(draining ? HttpAnswer.problem(503, "Draining", 0) : HttpAnswer.done());
                } else {
                    fetch(client, path);
                }
            }
            case POST -> submit(client, http);
            case DELETE -> {
                Call call = known(path);
                if (call != null) {
                    leave(call);
                }
                client.answer(call == null ? HttpAnswer.problem(404, "Unknown", 0) : HttpAnswer.done());
            }
            default -> client.answer(HttpAnswer.problem(405, "Method", 0).ending());
        }
    }

    private Call known(String path) {
        return path.startsWith(CALLS) ? calls.get(path.substring(CALLS.length())) : null;
    }

    /** The client has gone; nothing is owed any more. */
    void leave(Call call) {
        if (!call.settled()) {
            call.left = true;
            call.forgetAt = now;
            if (call.waiting != null) {
                call.waiting.waitsFor = null;
                call.waiting.drop();
                call.waiting = null;
            }
            steering.left(now, call.submission);
            told = true;
        }
    }

    private void submit(ClientLink client, HttpCall http) {
        Integer track = http.path().startsWith(SUBMIT) ? tracks.get(http.path().substring(SUBMIT.length())) : null;
        if (track == null) {
            client.answer(HttpAnswer.problem(404, "Unknown", 0));
            return;
        }
        Ask ask;
        try {
            ask = Ask.of(http);
        } catch (IllegalArgumentException e) {
            client.answer(HttpAnswer.problem(400, e.getMessage(), 0));
            return;
        }
        if (calls.containsKey(ask.id())) {
            client.answer(HttpAnswer.problem(409, "Known", 0));
            return;
        }
        if (calls.size() >= Math.min(OPEN_MOST, terms.number("caps.max_open", OPEN_MOST)) || bytes > bytesMost) {
            rarely("no room for a further submission: " + calls.size() + " with " + bytes + " bytes");
            client.answer(full(terms.flag("caps.retry_after") ? terms.number("caps.max_retry_after", 0) : 0));
            return;
        }
        Call call = new Call(ask, track, now);
        calls.put(ask.id(), call);
        held(ask.statement().length);
        client.handedIn(call);
        client.answer(HttpAnswer.goOnAt(CALLS + ask.id()));
        steering.arrived(now, call.submission);
        told = true;
    }

    private void fetch(ClientLink client, String path) {
        Call call = known(path);
        if (call == null || call.left) {
            client.answer(HttpAnswer.problem(404, "Unknown", 0));
        } else if (call.answer != null) {
            handOut(call, client);
        } else {
            if (call.waiting != null) {
                call.waiting.waitsFor = null;
                call.waiting.drop();
            }
            call.waiting = client;
            client.waitsFor = call;
        }
    }

    private void answer(Call call, HttpAnswer answer) {
        if (call.settled()) {
            return;
        }
        call.answer = answer;
        held(answer.body().length);
        if (call.waiting != null) {
            handOut(call, call.waiting);
            call.waiting = null;
        }
    }

    /** The answer stays for a moment: a client whose connection breaks comes again. */
    private void handOut(Call call, ClientLink client) {
        call.handedOut = true;
        call.forgetAt = now;
        client.answer(call.answer);
    }

    /** Counts bytes that are kept for clients; beyond a share of the heap no submission is taken. */
    void held(long more) {
        bytes += more;
    }

    long millisLeft(Call call) {
        return Math.max(1, (call.submission.leavesAt - now) / Units.TENTHS_PER_MS);
    }

    // ---- engines ----

    void noted(Flight flight, Note note, double level) {
        steering.noted(now, flight.hop, note, level);
        told = true;
    }

    void ended(Flight flight, Outcome outcome) {
        if (flight.over) {
            return;
        }
        flight.over = true;
        if (flight.link != null) {
            flight.link.release(flight);
        }
        Call call = flight.call;
        if (outcome == Outcome.FULFILLED) {
            answer(call, new HttpAnswer(200, Rows.answer(flight.pages), 0, false));
        }
        flight.pages = null;
        steering.ended(now, flight.hop, outcome, now - flight.hop.sentAt, call.settled(), 0, 0, null);
        told = true;
    }

    /** A new connection, or null if there is no room for it. */
    private EngineLink dial(EngineSite site) {
        if (links >= linksMost || site.links.size() >= linksMost / engines.size()) {
            return null;
        }
        EngineLink link = new EngineLink(this, site, now);
        links++;
        site.links.add(link);
        link.dial(driver);
        return link;
    }

    /** Shows whether anybody is there, if no connection does. */
    void tryAnew(EngineSite site) {
        if (site.links.stream().allMatch(EngineLink::silent)) {
            dial(site);
        }
    }

    void linkEnded() {
        links--;
    }

    // ---- the name service ----

    private void ask() {
        int id = queryIds.nextInt(1 << 16);
        queries.addLast(id);
        if (queries.size() > QUERIES_KEPT) {
            queries.removeFirst();
        }
        driver.ask(Dns.query(id));
    }

    /** A datagram of the name service. */
    public void told(byte[] datagram) {
        try {
            int id = datagram.length < 2 ? -1 : (datagram[0] & 255) << 8 | datagram[1] & 255;
            if (!queries.remove((Integer) id)) {
                throw new IllegalArgumentException("an answer to no query of ours");
            }
            listed(Dns.answer(datagram, id));
        } catch (IllegalArgumentException e) {
            rarely("name service: " + e.getMessage());
        }
    }

    private void listed(EngineNews news) {
        List<Listed> entries = engines.take(news);
        if (entries != null) {
            steering.listed(now, news.whole(), entries);
            told = true;
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
        EngineSite site = (EngineSite) hop.engine.tag;
        Flight flight = new Flight(hop, call);
        call.flights.add(flight);
        EngineLink link = site.roomy(call.ask.id(), streams);
        if (link == null) {
            link = dial(site);
        }
        if (link == null) {
            rarely("no room for a further engine connection");
            next.add(() -> ended(flight, Break.NO_ROOM.outcome(false)));
        } else {
            link.send(flight);
        }
    }

    @Override
    public void callOff(Hop hop) {
        Flight flight = ((Call) hop.submission.tag).flights.get(hop.number);
        if (!flight.over && flight.link != null) {
            Outcome outcome = flight.link.giveUp(flight);
            next.add(() -> ended(flight, outcome));
        }
    }

    @Override
    public void turnBack(Submission submission, long comeBack) {
        answer((Call) submission.tag, full(comeBack));
    }

    private static HttpAnswer full(long comeBack) {
        return HttpAnswer.problem(503, "Full", comeBack / Units.TENTHS_PER_MS);
    }

    @Override
    public void breakOff(Submission submission) {
        answer((Call) submission.tag, HttpAnswer.problem(500, "Error", 0));
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

    /** Logs, but at most a line a second. */
    void rarely(String line) {
        if (now >= logAt) {
            LOG.warn(unlogged == 0 ? line : line + " (" + unlogged + " lines left out)");
            logAt = now + LINGER;
            unlogged = 0;
        } else {
            unlogged++;
        }
    }

    // ---- the end ----

    /** From now on the gateway is on its way out; it goes on serving what comes. */
    public void drain() {
        draining = true;
    }

    /** Whether every answer is out. */
    public boolean allAnswered() {
        for (Call call : calls.values()) {
            if (!call.left && !call.handedOut) {
                return false;
            }
        }
        return clients.stream().noneMatch(ClientLink::sending);
    }

    /** Time is up: what is left is broken off, which promises nothing and so is always allowed. */
    public void breakOffAll() {
        for (Call call : new ArrayList<>(calls.values())) {
            if (!call.settled()) {
                breakOff(call.submission);
                steering.left(now, call.submission);
                told = true;
            }
        }
    }
}
