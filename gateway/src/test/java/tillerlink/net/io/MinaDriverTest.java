package tillerlink.net.io;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class MinaDriverTest {
    private static final int PATIENCE_MS = 10_000;

    /**
     * Guards the list of a large fleet: 16 KB, which some 180 engines fill, are not enough, and short answers before it
     * must not shrink the room for it.
     */
    @Test
    void anAnswerOfTheNameServiceComesWholeWhateverCameBefore() throws Exception {
        BlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
        List<Integer> came = new ArrayList<>();
        try (DatagramSocket names = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            names.setSoTimeout(PATIENCE_MS);
            MinaDriver driver = new MinaDriver(queue, (InetSocketAddress) names.getLocalSocketAddress(),
                    bytes -> came.add(bytes.length), pipe -> null, 10);
            List<Integer> sent = List.of(60, 60, 60, 60, 60, 60, 8000, 60, 16_384, 30_000, 60, 65_507);
            for (int length : sent) {
                driver.ask(new byte[] {1});
                while (came.size() < sent.size() && !question(names, length, queue)) {
                    driver.ask(new byte[] {1});
                }
            }
            assertEquals(sent, came);
        }
    }

    /** Answers one question and takes what comes of it; false if it was lost on the way. */
    private static boolean question(DatagramSocket names, int length, BlockingQueue<Runnable> queue) throws Exception {
        DatagramPacket packet = new DatagramPacket(new byte[16], 16);
        // The first question waits for its socket, which opens on another thread.
        while (true) {
            names.setSoTimeout(50);
            try {
                names.receive(packet);
                break;
            } catch (java.net.SocketTimeoutException e) {
                for (Runnable event = queue.poll(); event != null; event = queue.poll()) {
                    event.run();
                }
            }
        }
        names.send(new DatagramPacket(new byte[length], length, packet.getSocketAddress()));
        Runnable event = queue.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
        if (event == null) {
            return false;
        }
        event.run();
        return true;
    }
}
