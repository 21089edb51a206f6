package tillerlink.replay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import tillerlink.audit.Auditor;
import tillerlink.emulator.Seat;
import tillerlink.emulator.World;
import tillerlink.net.state.Break;
import tillerlink.net.state.Pipe;
import tillerlink.standin.HttpAnswers;
import tillerlink.standin.Results;
import tillerlink.workload.Arrival;
import tillerlink.workload.Track;

/**
 * The clients of a replay in virtual time: each submission is sent when it arrives, whatever became of those before it,
 * to a gateway that is up, and its result is fetched as the protocol says.
 */
final class Front {
    private static final long DELAY = 2;
    private static final int CALLS_MOST = 3;
    /** Each time limit is 50 ms longer on sockets. */
    private static final long SLACK = 500;
    private static final long IDLE_MOST = 4 * Figures.SECOND;

    /** One submission and its client. */
    private static final class Request {
        private final Arrival arrival;
        private final Track track;
        private final String id;
        private final Seat seat;
        private final long askedAt;
        private String path;
        private int calls;
        private boolean over;

        Request(Arrival arrival, Track track, String id, Seat seat, long askedAt) {
            this.arrival = arrival;
            this.track = track;
            this.id = id;
            this.seat = seat;
            this.askedAt = askedAt;
        }
    }

    private final World world;
    private final Figures figures;
    private final Wording wording;
    private final long start;
    private final Set<Request> open = new LinkedHashSet<>();
    private final List<ArrayDeque<Conversation>> idle = new ArrayList<>();
    private final List<Set<Conversation>> all = new ArrayList<>();

    Front(World world, Figures figures, Wording wording) {
        this.world = world;
        this.figures = figures;
        this.wording = wording;
        start = world.now();
        world.seats.forEach(seat -> {
            idle.add(new ArrayDeque<>());
            all.add(new LinkedHashSet<>());
        });
        world.onKill(this::killed);
    }

    /** How many wait for their answers. */
    int open() {
        return open.size();
    }

    void arrive(Arrival arrival) {
        Track track = world.tracks.get(arrival.track());
        figures.arrived(world.now() - start, arrival.track());
        Seat seat = seatFor(arrival);
        Request request = new Request(arrival, track, wording.id(arrival), seat, world.now());
        if (seat == null) {
            finish(request, End.KILLED);
            return;
        }
        open.add(request);
        world.expect(request.id, new World.Job(arrival.work(), track.width(), arrival.memory()));
        world.auditor.taken(world.now(), world.seats.indexOf(seat), request.id, arrival.track(), null,
                world.now() + track.hardStop());
        say(request, wording.submission(arrival, track, request.id));
        world.timeline.at(world.now() + track.hardStop() + SLACK, () -> leave(request));
    }

    /** Drawn by the submission alone; a front passes over gateways that are down. */
    private Seat seatFor(Arrival arrival) {
        int count = world.seats.size();
        int first = (int) Long.remainderUnsigned(arrival.key() * 0x9e3779b97f4a7c15L >>> 16, count);
        for (int i = 0; i < count; i++) {
            Seat seat = world.seats.get((first + i) % count);
            if (seat.isUp()) {
                return seat;
            }
        }
        return null;
    }

    private void say(Request request, byte[] bytes) {
        Conversation free = idle.get(world.seats.indexOf(request.seat)).pollLast();
        while (free != null && free.staleAt(world.now())) {
            free.hangUp();
            free = idle.get(world.seats.indexOf(request.seat)).pollLast();
        }
        Conversation with = free == null ? new Conversation(request.seat) : free;
        with.request = request;
        with.say(bytes);
    }

    private void heard(Conversation on, Request request, HttpAnswers.Answer answer) {
        String more = answer.status() == 200 ? answer.goOnAt() : null;
        if (more != null) {
            request.path = more;
            on.say(Wording.fetch(more));
            return;
        }
        on.free();
        if (request.over) {
            return;
        }
        long took = world.now() - request.askedAt;
        if (answer.status() == 200) {
            if (!answer.body().equals(Results.whole(request.id))) {
                world.auditor.wrongResult(world.now(), request.id);
            }
            answered(request, Auditor.Answer.FULFILLED, took <= request.track.softLimit() ? End.IN_TIME : End.LATE);
        } else if (answer.status() == 503 || answer.status() == 429) {
            answered(request, Auditor.Answer.TURNED_BACK, End.TURNED_BACK);
        } else {
            answered(request, Auditor.Answer.BROKEN_OFF, End.BROKEN_OFF);
        }
    }

    private void answered(Request request, Auditor.Answer answer, End end) {
        world.auditor.answered(world.now(), request.id, answer);
        finish(request, end);
    }

    private void finish(Request request, End end) {
        request.over = true;
        open.remove(request);
        world.forget(request.id);
        figures.ended(request.askedAt - start, request.arrival.track(), end, world.now() - request.askedAt);
    }

    /** The connection ended with no answer: the path is called again on another, three times at most. */
    private void broken(Request request) {
        if (request == null || request.over) {
            return;
        }
        if (request.path != null && request.calls++ < CALLS_MOST) {
            say(request, Wording.fetch(request.path));
        } else if (request.path == null && request.calls++ == 0) {
            // It crossed the gateway's close of an idle connection.
            say(request, wording.submission(request.arrival, request.track, request.id));
        } else {
            world.auditor.left(world.now(), request.id, true);
            finish(request, End.CLIENT_GONE);
        }
    }

    private void leave(Request request) {
        if (request.over) {
            return;
        }
        world.auditor.left(world.now(), request.id, true);
        finish(request, End.CLIENT_GONE);
        if (request.path != null) {
            Conversation last = new Conversation(request.seat);
            last.say(Wording.leave(request.path));
        }
    }

    private void killed(Seat seat) {
        int place = world.seats.indexOf(seat);
        List.copyOf(all.get(place)).forEach(conversation -> conversation.over = true);
        all.get(place).clear();
        idle.get(place).clear();
        for (Request request : List.copyOf(open)) {
            if (request.seat == seat) {
                finish(request, End.KILLED);
            }
        }
    }

    /** A client's connection to a gateway. */
    private final class Conversation implements Pipe {
        private final Seat seat;
        private final int place;
        private final HttpAnswers reader = new HttpAnswers();
        private Owner owner;
        private Request request;
        private boolean over;
        private long freeSince;

        Conversation(Seat seat) {
            this.seat = seat;
            place = world.seats.indexOf(seat);
            all.get(place).add(this);
            world.timeline.at(world.now() + DELAY, () -> {
                if (!over) {
                    seat.post(() -> owner = seat.accept(this));
                }
            });
        }

        void say(byte[] bytes) {
            world.timeline.at(world.now() + DELAY, () -> {
                if (!over) {
                    seat.post(() -> {
                        if (!over) {
                            owner.fed(bytes);
                        }
                    });
                }
            });
        }

        @Override
        public void write(byte[] bytes) {
            seat.post(() -> {
                if (!over) {
                    owner.written();
                }
            });
            world.timeline.at(world.now() + DELAY, () -> hear(bytes));
        }

        private void hear(byte[] bytes) {
            if (over && request == null) {
                return;
            }
            reader.feed(bytes);
            for (HttpAnswers.Answer answer = reader.next(); answer != null; answer = reader.next()) {
                Request of = request;
                if (of == null) {
                    hangUp();
                } else {
                    heard(this, of, answer);
                }
            }
        }

        void free() {
            request = null;
            freeSince = world.now();
            if (!over) {
                idle.get(place).addLast(this);
            }
        }

        boolean staleAt(long now) {
            return over || now >= freeSince + IDLE_MOST;
        }

        /** The client closes. */
        void hangUp() {
            if (!over) {
                over = true;
                all.get(place).remove(this);
                world.timeline.at(world.now() + DELAY, () -> seat.post(() -> owner.ended(Break.CLOSED_BY_PEER)));
            }
        }

        @Override
        public void close() {
            end();
        }

        @Override
        public void drop() {
            end();
        }

        /** The gateway closes; what it had written before that still comes. */
        private void end() {
            if (over) {
                return;
            }
            over = true;
            all.get(place).remove(this);
            idle.get(place).remove(this);
            world.timeline.at(world.now() + DELAY, () -> broken(request));
        }

        @Override
        public void hold(boolean held) {
            // Clients of a replay never send ahead.
        }
    }
}
