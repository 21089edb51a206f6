package tillerlink.net.io;

import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * Guards the descriptors: beyond the bound newcomers wait in the backlog until others have been
 * closed.
 */
final class ConnectionLimiter extends NioSocketAcceptor {
  private static final long WAIT_MS = 20;
  private final Semaphore room;

  ConnectionLimiter(IoProcessor<NioSession> processor, int most) {
    super(processor);
    room = new Semaphore(most);
  }

  @Override
  protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel listening)
      throws Exception {
    if (!room.tryAcquire(WAIT_MS, TimeUnit.MILLISECONDS)) {
      return null;
    }
    NioSession session = null;
    try {
      session = super.accept(processor, listening);
    } finally {
      if (session == null) {
        room.release();
      }
    }
    if (session != null) {
      session.getCloseFuture().addListener(closed -> room.release());
    }
    return session;
  }
}
