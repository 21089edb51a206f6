package tillerlink.faultinjection.soak;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import tillerlink.fakes.EngineCommandParser;
import tillerlink.fakes.EngineCommandParser.Command;

/**
 * The fake engines of a soak run. Each has one port per gateway, which identifies the gateway.
 * Requests are read and recorded at once whatever faults are active; a fault affects only the
 * response and its time, or resets the connection.
 */
final class SoakEngines implements Closeable {
  private static final int BUFFER_BYTES = 4096;
  private static final long MIN_WORK_MS = 10;
  private static final long WORK_SPREAD_MS = 90;
  private static final double RESET_SHARE = 0.3;
  private static final double FAILURE_SHARE = 0.7;
  private static final double MAX_DIAL_DELAY_MS = 700;
  private static final double MAX_IDLE_MS = 200;
  private static final int ACCEPT_BACKLOG = 64;
  private static final int STACK_BYTES = 128 * 1024;

  /** A port, identified by the engine and the gateway that reaches the engine there. */
  private record Port(int engine, int gateway) {}

  /** The present state of an engine; all its connections are reset while it is down. */
  private static final class State {
    private final Set<SoakFault.Kind> faults = ConcurrentHashMap.newKeySet();
    private final Set<Connection> open = ConcurrentHashMap.newKeySet();
    private volatile boolean down;
  }

  private final SoakOracle oracle;
  private final SoakClock clock;
  private final SoakTimer timer;
  private final Random random;
  private final List<State> states = new ArrayList<>();
  private final int[][] ports;

  /** The active faults of the links from each gateway to the engines. */
  private final List<Set<SoakFault.Kind>> linkFaults = new ArrayList<>();

  private final Selector selector = Selector.open();
  private volatile boolean closed;

  SoakEngines(
      int engines, int gateways, SoakOracle oracle, SoakClock clock, SoakTimer timer, long seed)
      throws IOException {
    this.oracle = oracle;
    this.clock = clock;
    this.timer = timer;
    random = new Random(seed);
    ports = new int[engines][gateways];
    for (int gateway = 0; gateway < gateways; gateway++) {
      linkFaults.add(ConcurrentHashMap.newKeySet());
    }
    for (int engine = 0; engine < engines; engine++) {
      states.add(new State());
      for (int gateway = 0; gateway < gateways; gateway++) {
        ports[engine][gateway] = listen(new Port(engine, gateway));
      }
    }
    daemon(this::accept, "engines");
  }

  private int listen(Port port) throws IOException {
    ServerSocketChannel listener = ServerSocketChannel.open();
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), ACCEPT_BACKLOG);
    listener.configureBlocking(false);
    listener.register(selector, SelectionKey.OP_ACCEPT, port);
    return listener.socket().getLocalPort();
  }

  /** Returns the port at which a gateway reaches an engine. */
  int port(int engine, int gateway) {
    return ports[engine][gateway];
  }

  /** Begins or ends a fault of an engine. */
  void set(int engine, SoakFault.Kind kind, boolean active) {
    State state = states.get(engine);
    if (active) {
      state.faults.add(kind);
    } else {
      state.faults.remove(kind);
    }
  }

  /** Begins or ends a fault of the links from a gateway to all engines. */
  void setLink(int gateway, SoakFault.Kind kind, boolean active) {
    if (active) {
      linkFaults.get(gateway).add(kind);
    } else {
      linkFaults.get(gateway).remove(kind);
    }
  }

  /** Ends the process of an engine: its connections are reset, and new ones too. */
  void down(int engine) {
    states.get(engine).down = true;
    states.get(engine).open.forEach(Connection::reset);
  }

  /** Starts a new process of an engine at the same address. */
  void up(int engine) {
    states.get(engine).down = false;
  }

  private void accept() {
    while (!closed) {
      try {
        selector.select();
        for (SelectionKey key : selector.selectedKeys()) {
          SocketChannel channel = ((ServerSocketChannel) key.channel()).accept();
          if (channel != null) {
            Connection connection = new Connection(channel.socket(), (Port) key.attachment());
            daemon(connection::serve, "engine");
          }
        }
        selector.selectedKeys().clear();
      } catch (IOException | ClosedSelectorException e) {
        // A connection was reset at once, or the engines are closed.
      }
    }
  }

  private static void daemon(Runnable work, String name) {
    Thread thread = new Thread(null, work, name, STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
  }

  /** A connection from a gateway to an engine. */
  private final class Connection {
    private final Socket socket;
    private final Port port;
    private final State state;
    private final Set<String> running = ConcurrentHashMap.newKeySet();
    private volatile boolean answered;

    Connection(Socket socket, Port port) {
      this.socket = socket;
      this.port = port;
      state = states.get(port.engine);
    }

    void serve() {
      state.open.add(this);
      try (socket) {
        if (state.down || (hasFault(SoakFault.Kind.ENGINE_RESETS) && drawBelow(RESET_SHARE))) {
          reset();
          return;
        }
        socket.setTcpNoDelay(true);
        readCommands();
      } catch (IOException | IllegalArgumentException e) {
        // The connection broke; its attempts are reported below.
      } finally {
        state.open.remove(this);
        running.forEach(id -> oracle.attemptEnded(port.engine, id, SoakOracle.End.GIVEN_UP));
      }
    }

    private boolean hasFault(SoakFault.Kind kind) {
      return state.faults.contains(kind);
    }

    private void readCommands() throws IOException {
      EngineCommandParser parser = new EngineCommandParser();
      InputStream in = socket.getInputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        double at = clock.now();
        parser.feed(Arrays.copyOf(buffer, count));
        for (Command command = parser.next(); command != null; command = parser.next()) {
          onCommand(command, at);
        }
      }
    }

    private void onCommand(Command command, double at) throws IOException {
      switch (command.word()) {
        case WANT -> submit(command, at);
        case NEVER_MIND -> {
          if (running.remove(command.id())) {
            oracle.attemptEnded(port.engine, command.id(), SoakOracle.End.GIVEN_UP);
          }
        }
        case THERE -> write(command.id() + " yes - 0\r\n\r\n");
        default -> {}
      }
    }

    private void submit(Command command, double at) {
      oracle.attempt(
          new SoakOracle.Attempt(
              command.id(),
              port.gateway,
              port.engine,
              command.requestClass(),
              command.limit(),
              at));
      running.add(command.id());
      double workMs = MIN_WORK_MS + WORK_SPREAD_MS * draw();
      if (linkFaults.get(port.gateway).contains(SoakFault.Kind.DIAL_LATE) && !answered) {
        workMs += MAX_DIAL_DELAY_MS * draw();
      }
      if (hasFault(SoakFault.Kind.ENGINE_RESETS) && drawBelow(RESET_SHARE)) {
        timer.after(workMs / 2, this::reset);
      }
      timer.after(workMs, () -> end(command));
    }

    private void end(Command command) {
      if (isSilent() || !running.contains(command.id())) {
        return;
      }
      SoakOracle.End end = drawEnd();
      running.remove(command.id());
      oracle.attemptEnded(port.engine, command.id(), end);
      try {
        write(command.id() + reply(end, command.id() + "\t" + port.engine + "\t\n"));
        answered = true;
        if (hasFault(SoakFault.Kind.ENGINE_CLOSES_IDLE) && running.isEmpty()) {
          timer.after(MAX_IDLE_MS * draw(), this::closeIfIdle);
        }
      } catch (IOException e) {
        // The connection broke during the response, which is lost.
      }
    }

    private SoakOracle.End drawEnd() {
      if (hasFault(SoakFault.Kind.ENGINE_REFUSES) && drawBelow(FAILURE_SHARE)) {
        return SoakOracle.End.REFUSED;
      }
      return hasFault(SoakFault.Kind.ENGINE_ERRS) && drawBelow(FAILURE_SHARE)
          ? SoakOracle.End.ERRED
          : SoakOracle.End.ANSWERED;
    }

    private static String reply(SoakOracle.End end, String row) {
      return switch (end) {
        case REFUSED -> " refused - 0\r\n\r\n";
        case ERRED -> " error - 0\r\n\r\n";
        default -> " ok count=1 " + row.length() + "\r\n" + row + "\r\n";
      };
    }

    /** Returns whether an active fault suppresses all responses on this connection. */
    private boolean isSilent() {
      return state.down
          || linkFaults.get(port.gateway).contains(SoakFault.Kind.PARTED)
          || EnumSet.of(SoakFault.Kind.ENGINE_HANGS, SoakFault.Kind.ENGINE_VANISHES).stream()
              .anyMatch(this::hasFault);
    }

    private void closeIfIdle() {
      if (running.isEmpty()) {
        try {
          socket.close();
        } catch (IOException e) {
          // The socket is already closed.
        }
      }
    }

    private synchronized void write(String text) throws IOException {
      if (!isSilent()) {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      }
    }

    void reset() {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // The socket is already closed.
      }
    }
  }

  private synchronized double draw() {
    return random.nextDouble();
  }

  private boolean drawBelow(double share) {
    return draw() < share;
  }

  @Override
  public void close() throws IOException {
    closed = true;
    for (SelectionKey key : selector.keys()) {
      key.channel().close();
    }
    selector.close();
    states.forEach(state -> state.open.forEach(Connection::reset));
  }
}
