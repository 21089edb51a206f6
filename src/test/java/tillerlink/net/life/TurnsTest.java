package tillerlink.net.life;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import tillerlink.net.state.Driver;
import tillerlink.net.state.Gateway;
import tillerlink.net.state.Pipe;
import tillerlink.net.wire.Assignment;
import tillerlink.port.Orders;
import tillerlink.port.Steering;

class TurnsTest {
    private static final long START = 17_000_000_000_000L;
    private static final long PAUSE = 30_000;

    private final List<String> happened = new ArrayList<>();
    private long now = START;
    private int reads;
    private Turns turns;

    /** Guards against taking a pause of this machine for a silent engine. */
    @Test
    void whatWasSaidDuringAPauseIsHeardBeforeWhatIsDue() throws InterruptedException {
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 1);
        Assignment assignment = new Assignment("n0", any, any, 7, 1024, Map.of(), List.of());
        turns = new Turns(this::clock);
        Gateway gateway = new Gateway(assignment, (now, seed, settings, orders) -> steering(orders), new Mute(), START);
        gateway.begin(START);
        gateway.settle();
        now += PAUSE;
        turns.run(gateway, () -> happened.size() > 2);
        assertEquals(List.of("settle", "heard", "woken", "settle"), happened);
    }

    /** The machine goes on where it stood; only after a moment its other threads read what had come. */
    private long clock() {
        if (++reads == 2) {
            turns.queue.add(() -> happened.add("heard"));
        }
        return now;
    }

    private Steering steering(Orders orders) {
        return (Steering) Proxy.newProxyInstance(getClass().getClassLoader(), new Class<?>[] {Steering.class},
                (proxy, method, values) -> {
                    happened.add(method.getName());
                    if (happened.size() == 1) {
                        orders.wake(START + PAUSE / 10);
                    }
                    return null;
                });
    }

    private static final class Mute implements Driver {
        @Override
        public Pipe dial(InetSocketAddress to, Pipe.Owner owner) {
            throw new IllegalStateException("nothing is to be dialed");
        }

        @Override
        public void ask(byte[] datagram) {
            // Nobody answers.
        }

        @Override
        public void flush() {
            // Nothing is written.
        }
    }
}
