package tillerlink.net.io;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.function.LongSupplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * MINA's thread for reading and writing; what changes whether a connection is read must run on it.
 */
final class ReadProcessor extends NioProcessor {
  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final Queue<Runnable> afterPass = new ConcurrentLinkedQueue<>();

  /** To be called once what is readable now has been read. */
  private List<Runnable> duringPass = List.of();

  private volatile Thread thread;
  private final LongSupplier clock;

  /**
   * @param clock the gateway's, in tenths of a millisecond; for any thread
   */
  ReadProcessor(LongSupplier clock) {
    super(
        Executors.newCachedThreadPool(
            work -> {
              Thread thread = new Thread(work, "reading");
              thread.setDaemon(true);
              return thread;
            }));
    this.clock = clock;
  }

  /** The one place where bytes of a connection are handed to the operating system. */
  @Override
  protected int write(NioSession session, IoBuffer buffer, int length) throws IOException {
    if (!(buffer instanceof DeadlineWrite timed) || timed.started()) {
      return super.write(session, buffer, length);
    }
    if (!timed.isInTime(clock.getAsLong())) {
      int all = timed.remaining();
      timed.expire();
      return all;
    }
    int written = super.write(session, buffer, length);
    if (written > 0) {
      timed.onStarted(clock.getAsLong());
    }
    return written;
  }

  void run(Runnable task) {
    if (Thread.currentThread() == thread) {
      task.run();
    } else {
      tasks.add(task);
      wakeup();
    }
  }

  /**
   * Calls back on this thread, once a piece of everything that is readable by now has been read and
   * posted.
   */
  void afterPass(Runnable then) {
    afterPass.add(then);
    wakeup();
  }

  /** Ends what we say on a connection and leaves what its peer says to be read; on this thread. */
  void endOutput(IoSession session) {
    for (SelectionKey key : selector.keys()) {
      if (key.attachment() == session && key.isValid()) {
        try {
          ((SocketChannel) key.channel()).shutdownOutput();
        } catch (IOException e) {
          session.closeNow();
        }
        return;
      }
    }
    session.closeNow();
  }

  @Override
  protected int select(long timeout) throws Exception {
    thread = Thread.currentThread();
    for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
      task.run();
    }
    // All that the last selection found has been read.
    duringPass.forEach(Runnable::run);
    duringPass = List.of();
    if (afterPass.isEmpty()) {
      return super.select(timeout);
    }
    duringPass = new ArrayList<>();
    for (Runnable callback = afterPass.poll(); callback != null; callback = afterPass.poll()) {
      duringPass.add(callback);
    }
    int selected = selector.selectNow();
    // MINA takes a selection that finds nothing at once for a fault of the selector, unless it was
    // woken.
    wakeupCalled.set(true);
    return selected;
  }
}
