package tillerlink.harness;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.apache.mina.core.RuntimeIoException;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import tillerlink.emulator.AttemptObserver;
import tillerlink.emulator.EmulatedEngine;
import tillerlink.emulator.Peer;
import tillerlink.emulator.World;
import tillerlink.fakes.EngineCommands.Command;
import tillerlink.fakes.EngineReplies;
import tillerlink.fakes.LineProtocolServer;
import tillerlink.net.state.DisconnectReason;

/**
 * Stand-in engines on loopback: the emulated ones, behind sockets. Each gateway reaches each engine
 * at a port of its own, so that what comes tells whose it is.
 */
final class EngineSockets implements Closeable {
  private static final String LOOPBACK = "127.0.0.1";
  private static final int BACKLOG = 256;
  private static final String PEER = "peer";

  /** Whose port it is. */
  private record Door(EmulatedEngine engine, int gateway) {}

  private final World world;
  private final Consumer<Runnable> post;
  private final NioSocketAcceptor acceptor = new NioSocketAcceptor(1);
  private final Map<SocketAddress, Door> doors = new ConcurrentHashMap<>();
  private final Map<String, List<InetSocketAddress>> ports = new HashMap<>();
  private final Set<EmulatedEngine> closed = new HashSet<>();

  EngineSockets(World world, Consumer<Runnable> post) {
    this.world = world;
    this.post = post;
    acceptor.setReuseAddress(true);
    acceptor.setBacklog(BACKLOG);
    acceptor.getSessionConfig().setTcpNoDelay(true);
    acceptor.setHandler(new Handler());
  }

  /** An engine has come up: it listens. */
  void open(EmulatedEngine engine) {
    List<InetSocketAddress> own = new ArrayList<>();
    for (int gateway = 0; gateway < world.fleet.gateways(); gateway++) {
      try {
        Set<SocketAddress> before = new HashSet<>(acceptor.getLocalAddresses());
        acceptor.bind(new InetSocketAddress(LOOPBACK, 0));
        Set<SocketAddress> after = new HashSet<>(acceptor.getLocalAddresses());
        after.removeAll(before);
        InetSocketAddress port = (InetSocketAddress) after.iterator().next();
        doors.put(port, new Door(engine, gateway));
        own.add(port);
      } catch (IOException e) {
        throw new IllegalStateException("an engine can't listen: " + e.getMessage(), e);
      }
    }
    ports.put(engine.spec.name(), own);
  }

  /** Where a gateway reaches an engine. */
  InetSocketAddress port(String engine, int gateway) {
    return ports.get(engine).get(gateway);
  }

  /** Looks which engines have ended since: they listen no longer. */
  void sweep() {
    for (Map.Entry<SocketAddress, Door> door : doors.entrySet()) {
      EmulatedEngine engine = door.getValue().engine;
      if (engine.isEnded() && closed.add(engine)) {
        ports.get(engine.spec.name()).forEach(acceptor::unbind);
      }
    }
  }

  @Override
  public void close() {
    acceptor.dispose(false);
  }

  /** A gateway's connection to an engine. */
  private final class SocketPeer implements Peer {
    private final Door door;
    private final IoSession session;
    private final LineProtocolServer side;
    private final AttemptObserver attempts;
    private boolean over;

    SocketPeer(Door door, IoSession session) {
      this.door = door;
      this.session = session;
      side = world.sides.apply(door.engine.spec);
      attempts = new AttemptObserver(world.auditor, door.gateway, door.engine.spec.name());
    }

    void opened() {
      if (door.engine.isEnded()) {
        cut(DisconnectReason.RESET);
      } else {
        door.engine.connected(this);
        write(side.owed());
      }
    }

    void fed(byte[] bytes) {
      if (over || door.engine.isSilent()) {
        return;
      }
      try {
        side.feed(bytes);
        for (Command command = side.next(); command != null; command = side.next()) {
          attempts.goesOut(world.now(), command);
          door.engine.heard(this, command);
        }
        side.disowned().forEach(attempts::disowned);
        write(side.owed());
      } catch (IllegalArgumentException e) {
        cut(DisconnectReason.CLOSED_BY_PEER);
      }
    }

    private void write(byte[] bytes) {
      if (bytes.length > 0) {
        session.write(IoBuffer.wrap(bytes));
      }
    }

    @Override
    public void say(EngineReplies what) {
      if (!over) {
        attempts.comesBack(what);
        write(side.say(what));
      }
    }

    @Override
    public void cut(DisconnectReason how) {
      if (how == DisconnectReason.RESET) {
        try {
          ((SocketSessionConfig) session.getConfig()).setSoLinger(0);
        } catch (RuntimeIoException e) {
          // The gateway has closed it meanwhile.
        }
      }
      session.closeNow();
      ended();
    }

    void ended() {
      if (!over) {
        over = true;
        attempts.ended(false);
        door.engine.disconnected(this);
      }
    }
  }

  private final class Handler extends IoHandlerAdapter {
    @Override
    public void sessionOpened(IoSession session) {
      SocketPeer peer = new SocketPeer(doors.get(session.getLocalAddress()), session);
      session.setAttribute(PEER, peer);
      post.accept(peer::opened);
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
      byte[] bytes = Buffers.taken(message);
      SocketPeer peer = (SocketPeer) session.getAttribute(PEER);
      post.accept(() -> peer.fed(bytes));
    }

    @Override
    public void sessionClosed(IoSession session) {
      SocketPeer peer = (SocketPeer) session.getAttribute(PEER);
      if (peer != null) {
        post.accept(peer::ended);
      }
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      session.closeNow();
    }
  }
}
