package tillerlink.net.state;

import java.util.ArrayDeque;
import java.util.Random;
import tillerlink.net.wire.Dns;
import tillerlink.net.wire.EngineNews;
import tillerlink.plain.Units;

/** What was asked of the name service: an answer counts once, and only if it is one of the latest questions'. */
final class NameService {
    private static final long EVERY = 200 * Units.TENTHS_PER_MS;
    private static final int KEPT = 8;

    private final ArrayDeque<Integer> asked = new ArrayDeque<>();
    private final Random ids;
    private final Driver driver;
    private long nextAt;

    NameService(Driver driver, long seed) {
        this.driver = driver;
        ids = new Random(seed);
    }

    void sweep(long now) {
        if (now >= nextAt) {
            nextAt = now + EVERY;
            int id = ids.nextInt(1 << 16);
            asked.addLast(id);
            if (asked.size() > KEPT) {
                asked.removeFirst();
            }
            driver.ask(Dns.query(id));
        }
    }

    /** @throws IllegalArgumentException if the datagram is of no use; the message says why */
    EngineNews take(byte[] datagram) {
        int id = Dns.id(datagram);
        if (!asked.remove((Integer) id)) {
            throw new IllegalArgumentException("an answer to no question of ours");
        }
        return Dns.answer(datagram, id);
    }
}
