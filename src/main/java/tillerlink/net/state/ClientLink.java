package tillerlink.net.state;

import tillerlink.net.wire.HttpAnswer;
import tillerlink.net.wire.HttpItem;
import tillerlink.net.wire.HttpReader;

/** A client's connection: one call at a time. */
final class ClientLink implements Pipe.Owner {
    /** More than this beside a call in hand, and nothing further is read until that is answered. */
    private static final int PIPELINED_MOST = 16_384;

    private final Gateway gateway;
    private final Pipe pipe;
    private final HttpReader reader = new HttpReader();
    private boolean inHand;
    private boolean lastCall;
    private boolean held;
    private boolean over;
    /** What it waits for, or null. */
    Call waitsFor;
    long quietSince;

    ClientLink(Gateway gateway, Pipe pipe, long now) {
        this.gateway = gateway;
        this.pipe = pipe;
        quietSince = now;
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
            quietSince = gateway.now();
        }
        reader.feed(bytes);
        read();
    }

    @Override
    public void written() {
        // A client that does not read is ended by its silence.
    }

    @Override
    public void ended(Break how) {
        over = true;
        if (waitsFor != null) {
            waitsFor.waiting = null;
            waitsFor = null;
        }
        gateway.forget(this);
    }

    private void read() {
        while (!inHand && !over) {
            HttpItem item = reader.next();
            if (reader.wantsGoOn()) {
                pipe.write(HttpAnswer.goOn());
            }
            if (item == null) {
                break;
            }
            inHand = true;
            gateway.called(this, item);
        }
        boolean hold = inHand && reader.waiting() > PIPELINED_MOST;
        if (hold != held && !over) {
            held = hold;
            pipe.hold(hold);
        }
    }

    void lastCall() {
        lastCall = true;
    }

    void answer(HttpAnswer answer) {
        if (over) {
            return;
        }
        quietSince = gateway.now();
        inHand = false;
        waitsFor = null;
        if (lastCall && !answer.last()) {
            answer = answer.ending();
        }
        pipe.write(answer.encoded());
        if (answer.last()) {
            over = true;
            pipe.close();
        } else {
            read();
        }
    }

    boolean midway() {
        return reader.midway() && !inHand;
    }

    boolean idle() {
        return !inHand;
    }

    /** Ends it with no word. */
    void drop() {
        over = true;
        pipe.drop();
    }
}
