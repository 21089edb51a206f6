package tillerlink.net.io;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * MINA's processor for reading and writing, which runs on a single thread. Operations that suspend
 * or resume reading from a connection must run on that thread.
 */
final class ReadProcessor extends NioProcessor {
  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

  /** The callbacks to run after the next read pass, from any thread. */
  private final Queue<Runnable> queuedCallbacks = new ConcurrentLinkedQueue<>();

  /** The callbacks to run once the connections found by the current selection have been read. */
  private List<Runnable> readPassCallbacks = List.of();

  /** The number of the read pass that is in progress, counted from 1. */
  private final AtomicLong currentReadPass = new AtomicLong();

  private volatile Thread thread;
  private final LongSupplier clock;

  /**
   * Creates a processor with its thread.
   *
   * @param clock returns the gateway's time in tenths of a millisecond; callable on any thread
   */
  ReadProcessor(LongSupplier clock) {
    super(
        Executors.newCachedThreadPool(
            runnable -> {
              Thread thread = new Thread(runnable, "reading");
              thread.setDaemon(true);
              return thread;
            }));
    this.clock = clock;
  }

  /**
   * Writes bytes of a buffer to a connection; no other method passes bytes of a connection to the
   * operating system. A {@link DeadlineWrite} whose deadline has passed before its first byte is
   * discarded and reported as written.
   */
  @Override
  protected int write(NioSession session, IoBuffer buffer, int length) throws IOException {
    if (!(buffer instanceof DeadlineWrite deadlineWrite) || deadlineWrite.started()) {
      return super.write(session, buffer, length);
    }
    if (!deadlineWrite.isInTime(clock.getAsLong())) {
      int remaining = deadlineWrite.remaining();
      deadlineWrite.expire();
      return remaining;
    }
    int written = super.write(session, buffer, length);
    if (written > 0) {
      deadlineWrite.onStarted(clock.getAsLong());
    }
    return written;
  }

  /** Returns the number of the read pass that is in progress. For the processor's thread. */
  long currentReadPass() {
    return currentReadPass.get();
  }

  /**
   * Returns the number of read passes that are complete. A pass reads each connection that was
   * readable at its beginning once, unless reading from it is suspended.
   */
  long completedReadPasses() {
    return currentReadPass.get() - 1;
  }

  /** Runs a task on the processor's thread: at once if called on that thread, otherwise soon. */
  void runOnProcessorThread(Runnable task) {
    if (Thread.currentThread() == thread) {
      task.run();
    } else {
      tasks.add(task);
      wakeup();
    }
  }

  /**
   * Runs a callback on the processor's thread, once each connection that is readable by now has
   * been read once and the bytes have been posted.
   */
  void runAfterReadPass(Runnable callback) {
    queuedCallbacks.add(callback);
    wakeup();
  }

  /**
   * Suspends or resumes reading from a connection. Must be called on the processor's thread. MINA
   * computes anew what the connection waits for and overlooks a message that was written in part,
   * so that its rest would never be written.
   */
  void setReadSuspended(IoSession session, boolean suspended) {
    if (suspended == session.isReadSuspended()) {
      return;
    }
    if (suspended) {
      session.suspendRead();
    } else {
      session.resumeRead();
    }
    if (session.getCurrentWriteRequest() != null) {
      try {
        setInterestedInWrite((NioSession) session, true);
      } catch (Exception e) {
        session.closeNow();
      }
    }
  }

  /**
   * Shuts down the output of a connection and leaves its input open. Must be called on the
   * processor's thread. Closes the connection if its output cannot be shut down.
   */
  void shutdownOutput(IoSession session) {
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
    currentReadPass.incrementAndGet();
    for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
      task.run();
    }
    // All connections that the last selection found have been read.
    readPassCallbacks.forEach(Runnable::run);
    readPassCallbacks = List.of();
    if (queuedCallbacks.isEmpty()) {
      return super.select(timeout);
    }
    readPassCallbacks = new ArrayList<>();
    for (Runnable callback = queuedCallbacks.poll();
        callback != null;
        callback = queuedCallbacks.poll()) {
      readPassCallbacks.add(callback);
    }
    int selected = selector.selectNow();
    // MINA treats a selection that returns at once without a result as a selector fault, unless the
    // selector was woken up.
    wakeupCalled.set(true);
    return selected;
  }
}
