package tillerlink.net.io;

import java.util.Queue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.IoSession;
import tillerlink.net.state.Channel;
import tillerlink.net.state.RetainedBytes;

/**
 * The channel of one TCP connection on MINA. Its public methods are called on the event-loop
 * thread; events are posted to the queue of that thread.
 */
final class MinaChannel implements Channel {
  /**
   * The number of unprocessed reads at which reading from a connection is suspended. The number of
   * the other events is limited by the number of writes.
   */
  private static final int MAX_UNPROCESSED_READS = 2;

  /**
   * What all channels of a driver share.
   *
   * @param queue the tasks of the event-loop thread
   * @param operations the operations that are performed at the end of an iteration
   * @param lingering the sessions whose output was shut down
   */
  record Resources(
      Queue<Runnable> queue,
      Queue<Runnable> operations,
      ReadProcessor processor,
      LingeringSessions lingering) {}

  private final Resources resources;
  private final ReadProcessor processor;

  /** Counts the bytes that were read and not processed yet; null for an engine's connection. */
  private final RetainedBytes retained;

  private Owner owner;

  /** The result of the connect operation; null for an accepted connection. */
  private ConnectFuture connectFuture;

  /** The number of reads that the event-loop thread has not yet processed. */
  private final AtomicInteger unprocessedReads = new AtomicInteger();

  private volatile IoSession session;
  private volatile boolean paused;
  private volatile boolean readSuspended;

  /** The last read pass whose read filled the buffer, so that more bytes may have waited. */
  private volatile long fullReadPass = -1;

  /** The result of the last write, or null if nothing was written. */
  private WriteFuture lastWrite;

  private MinaChannel(Resources resources, RetainedBytes retained) {
    this.resources = resources;
    this.retained = retained;
    processor = resources.processor();
  }

  /** Returns the channel of a connection that is to be opened. */
  static MinaChannel outgoing(Resources resources, Owner owner) {
    MinaChannel channel = new MinaChannel(resources, null);
    channel.owner = owner;
    return channel;
  }

  /**
   * Returns the channel of an accepted connection, which has no owner yet.
   *
   * @param retained counts the bytes that were read and not processed yet
   */
  static MinaChannel accepted(Resources resources, IoSession session, RetainedBytes retained) {
    MinaChannel channel = new MinaChannel(resources, retained);
    channel.session = session;
    return channel;
  }

  /** Called on the event-loop thread once the connect operation has begun. */
  void onDialed(ConnectFuture future) {
    connectFuture = future;
  }

  /** Called on MINA's thread when an outgoing connection is open. */
  void onOpened(IoSession opened) {
    session = opened;
    post(Owner::onOpened);
  }

  /**
   * Creates the owner of an accepted connection, on the event-loop thread. The connection ends if
   * that fails.
   */
  void createOwner(Function<Channel, Owner> factory) {
    try {
      owner = factory.apply(this);
    } catch (RuntimeException | LinkageError | StackOverflowError e) {
      endAfterFailure(e);
      throw e;
    }
  }

  /** Posts an event to the event-loop thread. Called on MINA's threads. */
  void post(Consumer<Owner> event) {
    resources.queue().add(() -> notifyOwner(event));
  }

  /**
   * Notifies the owner of an event. Guards against a connection whose event was processed in part:
   * if the owner fails, the connection ends, and the failure is passed on to be logged.
   */
  private void notifyOwner(Consumer<Owner> event) {
    if (owner == null) {
      // The connection was aborted because its owner could not be created.
      return;
    }
    try {
      event.accept(owner);
    } catch (RuntimeException | LinkageError | StackOverflowError e) {
      endAfterFailure(e);
      throw e;
    }
  }

  private void endAfterFailure(Throwable cause) {
    boolean ended = false;
    try {
      ended = owner != null && owner.endAfterFailure();
    } catch (RuntimeException | LinkageError | StackOverflowError e) {
      cause.addSuppressed(e);
    }
    if (!ended) {
      abort();
    }
  }

  @Override
  public void write(byte[] bytes) {
    resources.operations().add(() -> lastWrite = session.write(IoBuffer.wrap(bytes)));
  }

  @Override
  public void writeUntil(byte[] bytes, long deadline) {
    resources.operations().add(() -> lastWrite = session.write(new DeadlineWrite(bytes, deadline)));
  }

  @Override
  public void close() {
    resources.operations().add(() -> endSession(false));
  }

  @Override
  public void abort() {
    resources.operations().add(() -> endSession(true));
  }

  @Override
  public void pauseReading(boolean pause) {
    paused = pause;
    updateReadSuspension();
  }

  @Override
  public boolean mayHaveUnreadInput() {
    return readSuspended || processor.completedReadPasses() <= fullReadPass;
  }

  /**
   * Posts bytes that were read to the event-loop thread. Called on MINA's thread.
   *
   * @param bufferFilled whether the read filled its buffer
   */
  void postBytes(byte[] bytes, boolean bufferFilled) {
    fullReadPass = bufferFilled ? processor.currentReadPass() : -1;
    unprocessedReads.incrementAndGet();
    countInput(bytes.length);
    updateReadSuspension();
    resources
        .queue()
        .add(
            () -> {
              countInput(-bytes.length);
              unprocessedReads.decrementAndGet();
              if (readSuspended) {
                updateReadSuspension();
              }
              notifyOwner(receiver -> receiver.onBytes(bytes));
            });
  }

  private void countInput(int delta) {
    if (retained != null) {
      retained.addInput(delta);
    }
  }

  /**
   * Suspends or resumes reading from the connection. Guards the memory and the other connections: a
   * connection with too many unprocessed reads is not read further, and no other connection waits
   * for it. While there is no room for input, one unprocessed read is too many.
   */
  private void updateReadSuspension() {
    processor.runOnProcessorThread(
        () -> {
          boolean full = retained != null && retained.isInputFull();
          int maxReads = full ? 1 : MAX_UNPROCESSED_READS;
          boolean suspend = paused || unprocessedReads.get() >= maxReads;
          if (readSuspended && !suspend) {
            // More bytes may wait until the first read pass after the resumption is complete.
            fullReadPass = processor.currentReadPass();
          }
          readSuspended = suspend;
          processor.setReadSuspended(session, suspend);
        });
  }

  /**
   * Ends the connection. If that is not immediate, only the output is shut down, after everything
   * has been written, because closing a connection with unread input would reset it and the peer
   * would lose the last response. The input is read until the peer closes its side as well, but
   * only for a while, see {@link LingeringSessions}.
   *
   * @param immediately whether to close the connection at once, with unwritten bytes lost
   */
  private void endSession(boolean immediately) {
    if (session != null) {
      if (immediately) {
        session.closeNow();
      } else if (lastWrite == null) {
        resources.lingering().shutdownOutput(session);
      } else {
        lastWrite.addListener(done -> resources.lingering().shutdownOutput(session));
      }
    } else if (connectFuture != null) {
      connectFuture.cancel();
      connectFuture.addListener(
          done -> {
            if (connectFuture.isConnected()) {
              connectFuture.getSession().closeNow();
            }
          });
    }
  }
}
