package tillerlink.peering.io;

import java.net.SocketAddress;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.session.IoSessionRecycler;

/**
 * MINA's sessions, one for each address that datagrams were sent to or came from. Bounds the memory
 * that datagrams from ever new addresses take: the least recently used session is closed.
 *
 * <p>Used by the event loop's thread and by MINA's; guarded by a lock.
 */
final class RecentSessions implements IoSessionRecycler {
  static final int MAX_SESSIONS = 2048;

  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final Map<SocketAddress, IoSession> sessions =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

  @Override
  public void put(IoSession session) {
    IoSession evicted = null;
    synchronized (sessions) {
      sessions.put(session.getRemoteAddress(), session);
      if (sessions.size() > MAX_SESSIONS) {
        Iterator<IoSession> oldest = sessions.values().iterator();
        evicted = oldest.next();
        oldest.remove();
      }
    }
    if (evicted != null) {
      evicted.closeNow();
    }
  }

  @Override
  public IoSession recycle(SocketAddress remoteAddress, int localPort) {
    synchronized (sessions) {
      return sessions.get(remoteAddress);
    }
  }

  @Override
  public void remove(IoSession session) {
    synchronized (sessions) {
      sessions.remove(session.getRemoteAddress(), session);
    }
  }
}
