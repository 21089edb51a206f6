package tillerlink.net.state;

import java.util.ArrayDeque;
import tillerlink.net.wire.HttpAnswer;
import tillerlink.net.wire.HttpItem;
import tillerlink.net.wire.HttpReader;

/** A client's connection: one call at a time, and the next is read when the answer to the one before is out. */
final class ClientLink implements Pipe.Owner {
    /** More than this beside a call in hand, and nothing further is read until that is answered. */
    private static final int PIPELINED_MOST = 16_384;

    private final ClientDoor door;
    private final Pipe pipe;
    private final HttpReader reader = new HttpReader();
    /** Sizes of what was written and is not yet out. */
    private final ArrayDeque<Integer> unsent = new ArrayDeque<>();
    private boolean inHand;
    private boolean lastCall;
    private boolean held;
    private boolean over;
    /** What it waits for, or null. */
    Call waitsFor;
    /** What it handed in by its latest call, or null. */
    private Call handedIn;
    private long quietSince;

    ClientLink(ClientDoor door, Pipe pipe) {
        this.door = door;
        this.pipe = pipe;
        quietSince = door.now();
    }

    @Override
    public void opened() {
        // It was accepted open.
    }

    @Override
    public void fed(byte[] bytes) {
        if (over) {
            return;
        }
        if (!reader.midway()) {
            quietSince = door.now();
        }
        reader.feed(bytes);
        read();
    }

    @Override
    public void written() {
        door.held(-unsent.poll());
        if (unsent.isEmpty()) {
            quietSince = door.now();
            if (inHand && waitsFor == null) {
                inHand = false;
                read();
            }
        }
    }

    @Override
    public void ended(Break how) {
        over = true;
        if (waitsFor != null) {
            waitsFor.waiting = null;
        }
        if (handedIn != null && !unsent.isEmpty()) {
            door.leave(handedIn);
        }
        unsent.forEach(size -> door.held(-size));
        unsent.clear();
        door.forget(this);
    }

    private void read() {
        if (!inHand && !over) {
            HttpItem item = reader.next();
            if (reader.wantsGoOn()) {
                write(HttpAnswer.goOn());
            }
            if (item != null) {
                inHand = true;
                handedIn = null;
                door.called(this, item);
            }
        }
        boolean hold = inHand && reader.waiting() > PIPELINED_MOST;
        if (hold != held && !over) {
            held = hold;
            pipe.hold(hold);
        }
    }

    private void write(byte[] bytes) {
        unsent.add(bytes.length);
        door.held(bytes.length);
        pipe.write(bytes);
    }

    /** The connection ends after the answer to the call in hand. */
    void lastCall() {
        lastCall = true;
    }

    void handedIn(Call call) {
        handedIn = call;
    }

    void answer(HttpAnswer answer) {
        if (over) {
            return;
        }
        waitsFor = null;
        boolean last = lastCall || answer.last();
        quietSince = door.now();
        write((last ? answer.ending() : answer).encoded());
        if (last) {
            over = true;
            pipe.close();
        }
    }

    boolean sending() {
        return !unsent.isEmpty();
    }

    /**
     * Guards against clients that come and then stall: with half a call or with an answer that they don't read for
     * the one span, with nothing at all for the other. A call that waits for its answer may take its time.
     */
    void sweep(long stalledMost, long idleMost) {
        long quiet = door.now() - quietSince;
        if (sending() || over) {
            if (quiet >= stalledMost) {
                drop();
            }
        } else if (!inHand && reader.midway() && quiet >= stalledMost) {
            answer(HttpAnswer.problem(408, "Timeout", 0).ending());
        } else if (!inHand && quiet >= idleMost) {
            drop();
        }
    }

    /** Ends it with no word. */
    void drop() {
        over = true;
        pipe.drop();
    }
}
