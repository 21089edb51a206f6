package tillerlink.net.io;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import org.apache.mina.transport.socket.nio.NioProcessor;

/** MINA's thread for reading and writing; what changes whether a connection is read must run on it. */
final class Reading extends NioProcessor {
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private volatile Thread thread;

    Reading() {
        super(Executors.newCachedThreadPool(work -> {
            Thread thread = new Thread(work, "reading");
            thread.setDaemon(true);
            return thread;
        }));
    }

    void run(Runnable task) {
        if (Thread.currentThread() == thread) {
            task.run();
        } else {
            tasks.add(task);
            wakeup();
        }
    }

    @Override
    protected int select(long timeout) throws Exception {
        thread = Thread.currentThread();
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
        return super.select(timeout);
    }
}
