package tillerlink.net.io;

import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * An acceptor of client connections up to a limit. Guards the file descriptors and the memory of
 * this process: beyond the limit, new connections wait in the listen backlog until others have been
 * closed and the event-loop thread has reached their close in its queue.
 */
final class ConnectionLimiter extends NioSocketAcceptor {
  private static final long PERMIT_WAIT_MS = 20;
  private final Semaphore permits;
  private final Consumer<Runnable> eventLoop;

  /**
   * Creates an acceptor.
   *
   * @param eventLoop runs a task on the event-loop thread, after the events posted before
   */
  ConnectionLimiter(
      IoProcessor<NioSession> processor, int maxConnections, Consumer<Runnable> eventLoop) {
    super(processor);
    this.eventLoop = eventLoop;
    permits = new Semaphore(maxConnections);
  }

  @Override
  protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel listening)
      throws Exception {
    if (!permits.tryAcquire(PERMIT_WAIT_MS, TimeUnit.MILLISECONDS)) {
      return null;
    }
    NioSession session = null;
    try {
      session = super.accept(processor, listening);
    } finally {
      if (session == null) {
        permits.release();
      }
    }
    if (session != null) {
      session.getCloseFuture().addListener(closed -> eventLoop.accept(permits::release));
    }
    return session;
  }
}
