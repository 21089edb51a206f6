package tillerlink.harness;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
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
import tillerlink.emulator.EmulatedCluster;
import tillerlink.emulator.EmulatedEngine;
import tillerlink.emulator.ServerConnection;
import tillerlink.fakes.EngineCommandParser.Command;
import tillerlink.fakes.EngineProtocolServer;
import tillerlink.fakes.EngineReply;
import tillerlink.net.state.DisconnectReason;

/**
 * The listening sockets of the emulated engines on loopback. Each engine has a separate port for
 * each gateway, so that the port of a connection identifies the gateway.
 */
final class EngineSockets implements Closeable {
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  private static final int ACCEPT_BACKLOG = 256;
  private static final String CONNECTION = "connection";

  /** The engine that listens on a port, and the index of the gateway that connects to it. */
  private record Listener(EmulatedEngine engine, int gateway) {}

  private final EmulatedCluster cluster;
  private final Consumer<Runnable> post;
  private final NioSocketAcceptor acceptor = new NioSocketAcceptor(1);
  private final Map<SocketAddress, Listener> listeners = new ConcurrentHashMap<>();
  private final Map<String, List<InetSocketAddress>> ports = new HashMap<>();
  private final Set<EmulatedEngine> closed = new HashSet<>();

  /**
   * Creates the sockets' acceptor; {@link #open} starts to listen for an engine.
   *
   * @param cluster the cluster that the engines belong to
   * @param post runs a callback on the thread that owns the cluster, because MINA calls its
   *     handlers on its own threads
   */
  EngineSockets(EmulatedCluster cluster, Consumer<Runnable> post) {
    this.cluster = cluster;
    this.post = post;
    acceptor.setReuseAddress(true);
    acceptor.setBacklog(ACCEPT_BACKLOG);
    acceptor.getSessionConfig().setTcpNoDelay(true);
    acceptor.setHandler(new Handler());
  }

  /**
   * Opens one port for each gateway for an engine that has started.
   *
   * @throws IllegalStateException if a port cannot be opened
   */
  void open(EmulatedEngine engine) {
    List<InetSocketAddress> enginePorts = new ArrayList<>();
    for (int gateway = 0; gateway < cluster.fleet.gateways(); gateway++) {
      try {
        Set<SocketAddress> before = new HashSet<>(acceptor.getLocalAddresses());
        acceptor.bind(new InetSocketAddress(LOOPBACK, 0));
        Set<SocketAddress> after = new HashSet<>(acceptor.getLocalAddresses());
        after.removeAll(before);
        InetSocketAddress port = (InetSocketAddress) after.iterator().next();
        listeners.put(port, new Listener(engine, gateway));
        enginePorts.add(port);
      } catch (IOException e) {
        throw new IllegalStateException(
            "cannot open a loopback port for engine " + engine.spec.name() + ": " + e.getMessage(),
            e);
      }
    }
    ports.put(engine.spec.name(), enginePorts);
  }

  /** Returns the address at which a gateway reaches an engine. */
  InetSocketAddress port(String engine, int gateway) {
    return ports.get(engine).get(gateway);
  }

  /** Closes the ports of engines that have ended since the last call. */
  void closeEnded() {
    for (Map.Entry<SocketAddress, Listener> listener : listeners.entrySet()) {
      EmulatedEngine engine = listener.getValue().engine;
      if (engine.isEnded() && closed.add(engine)) {
        ports.get(engine.spec.name()).forEach(acceptor::unbind);
      }
    }
  }

  @Override
  public void close() {
    acceptor.dispose(false);
  }

  /** An engine's end of a connection from a gateway. */
  private final class SocketConnection implements ServerConnection {
    private final Listener listener;
    private final IoSession session;
    private final EngineProtocolServer protocol;
    private final AttemptObserver attempts;
    private boolean ended;

    SocketConnection(Listener listener, IoSession session) {
      this.listener = listener;
      this.session = session;
      protocol = cluster.newProtocolServer(listener.engine.spec);
      attempts =
          new AttemptObserver(cluster.auditor, listener.gateway, listener.engine.spec.name());
    }

    void onOpened() {
      if (listener.engine.isEnded()) {
        disconnect(DisconnectReason.RESET);
      } else {
        listener.engine.onConnected(this);
        write(protocol.takePendingOutput());
      }
    }

    void onBytes(byte[] bytes) {
      if (ended || listener.engine.isSilent()) {
        return;
      }
      try {
        protocol.feed(bytes);
        for (Command command = protocol.next(); command != null; command = protocol.next()) {
          attempts.onCommand(cluster.now(), command);
          listener.engine.onCommand(this, command);
        }
        protocol.takeNotExecuted().forEach(attempts::onNotExecuted);
        write(protocol.takePendingOutput());
      } catch (IllegalArgumentException e) {
        disconnect(DisconnectReason.CLOSED_BY_PEER);
      }
    }

    private void write(byte[] bytes) {
      if (bytes.length > 0) {
        session.write(IoBuffer.wrap(bytes));
      }
    }

    @Override
    public void reply(EngineReply reply) {
      if (!ended) {
        attempts.onReply(reply);
        write(protocol.encode(reply));
      }
    }

    @Override
    public void disconnect(DisconnectReason reason) {
      if (reason == DisconnectReason.RESET) {
        try {
          ((SocketSessionConfig) session.getConfig()).setSoLinger(0);
        } catch (RuntimeIoException e) {
          // The gateway has closed the connection in the meantime, so there is nothing to reset.
        }
      }
      session.closeNow();
      onClosed();
    }

    void onClosed() {
      if (!ended) {
        ended = true;
        attempts.onConnectionEnded(false);
        listener.engine.onDisconnected(this);
      }
    }
  }

  /** Forwards MINA's events to the thread that owns the cluster. */
  private final class Handler extends IoHandlerAdapter {
    @Override
    public void sessionOpened(IoSession session) {
      SocketConnection connection =
          new SocketConnection(listeners.get(session.getLocalAddress()), session);
      session.setAttribute(CONNECTION, connection);
      post.accept(connection::onOpened);
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
      byte[] bytes = Buffers.bytes(message);
      SocketConnection connection = (SocketConnection) session.getAttribute(CONNECTION);
      post.accept(() -> connection.onBytes(bytes));
    }

    @Override
    public void sessionClosed(IoSession session) {
      SocketConnection connection = (SocketConnection) session.getAttribute(CONNECTION);
      if (connection != null) {
        post.accept(connection::onClosed);
      }
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      session.closeNow();
    }
  }
}
