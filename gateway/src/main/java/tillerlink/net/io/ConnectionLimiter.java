package tillerlink.net.io;

import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * Accepts client connections up to a bound. Guards the descriptors: beyond it newcomers wait in the
 * backlog until others have been closed.
 */
final class ConnectionLimiter extends NioSocketAcceptor {
  private static final long WAIT_MS = 20;
  private final Semaphore permits;

  ConnectionLimiter(IoProcessor<NioSession> processor, int limit) {
    super(processor);
    permits = new Semaphore(limit);
  }

  @Override
  protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel listening)
      throws Exception {
    if (!permits.tryAcquire(WAIT_MS, TimeUnit.MILLISECONDS)) {
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
      session.getCloseFuture().addListener(closed -> permits.release());
    }
    return session;
  }
}
