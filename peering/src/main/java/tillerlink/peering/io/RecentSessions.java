package tillerlink.peering.io;

import java.net.SocketAddress;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.session.IoSessionRecycler;

/**
 * A bounded cache of MINA sessions, one for each remote address. It closes the least recently used
 * session when it is full, so that datagrams from many different addresses can't exhaust memory.
 *
 * <p>Used by the event loop's thread and by MINA's thread; guarded by a lock.
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
