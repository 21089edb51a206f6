package tillerlink.peering.io;

import java.net.SocketAddress;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.session.IoSessionRecycler;

/**
 * What MINA keeps for each address that datagrams went to or came from. Guards the memory against
 * datagrams from ever new addresses: the one that was used longest ago goes.
 */
final class Recent implements IoSessionRecycler {
  static final int MOST = 2048;

  private final Map<SocketAddress, IoSession> sessions = new LinkedHashMap<>(64, 0.75f, true);

  @Override
  public void put(IoSession session) {
    IoSession goes = null;
    synchronized (sessions) {
      sessions.put(session.getRemoteAddress(), session);
      if (sessions.size() > MOST) {
        Iterator<IoSession> oldest = sessions.values().iterator();
        goes = oldest.next();
        oldest.remove();
      }
    }
    if (goes != null) {
      goes.closeNow();
    }
  }

  @Override
  public IoSession recycle(SocketAddress remote, int local) {
    synchronized (sessions) {
      return sessions.get(remote);
    }
  }

  @Override
  public void remove(IoSession session) {
    synchronized (sessions) {
      sessions.remove(session.getRemoteAddress(), session);
    }
  }
}
