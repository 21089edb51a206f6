package tillerlink.faultinjection.soak;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
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
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import tillerlink.fakes.EngineCommandParser;
import tillerlink.fakes.EngineCommandParser.Command;

/**
 * The engines of a soak, each with a port for every gateway, so that what comes tells whose it is.
 * What comes is read and noted at once, whatever the fault; a fault decides what is said to it, and
 * when.
 */
final class SoakEngines implements Closeable {
  private static final int PIECE = 4096;
  private static final long WORK_LEAST_MS = 10;
  private static final long WORK_MORE_MS = 90;
  private static final int STACK = 128 * 1024;

  /** The port of an engine that a gateway reaches it at. */
  private record Port(int engine, int gateway) {}

  /** How an engine is at present. */
  private static final class State {
    private final Set<SoakFault.Kind> faults = ConcurrentHashMap.newKeySet();
    private final Set<Connection> open = ConcurrentHashMap.newKeySet();
    private volatile boolean down;
  }

  private final SoakOracle oracle;
  private final SoakClock clock;
  private final ScheduledExecutorService later;
  private final Random random;
  private final List<State> states = new ArrayList<>();
  private final int[][] ports;

  /** What befalls the ways from each gateway. */
  private final List<Set<SoakFault.Kind>> ways = new ArrayList<>();

  private final Selector selector = Selector.open();
  private volatile boolean closed;

  SoakEngines(
      int engines,
      int gateways,
      SoakOracle oracle,
      SoakClock clock,
      ScheduledExecutorService later,
      long seed)
      throws IOException {
    this.oracle = oracle;
    this.clock = clock;
    this.later = later;
    random = new Random(seed);
    ports = new int[engines][gateways];
    for (int g = 0; g < gateways; g++) {
      ways.add(ConcurrentHashMap.newKeySet());
    }
    for (int e = 0; e < engines; e++) {
      states.add(new State());
      for (int g = 0; g < gateways; g++) {
        ServerSocketChannel door = ServerSocketChannel.open();
        door.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        door.configureBlocking(false);
        door.register(selector, SelectionKey.OP_ACCEPT, new Port(e, g));
        ports[e][g] = door.socket().getLocalPort();
      }
    }
    daemon(this::accept, "engines");
  }

  /** The port at which a gateway reaches an engine. */
  int port(int engine, int gateway) {
    return ports[engine][gateway];
  }

  void set(int engine, SoakFault.Kind kind, boolean on) {
    State state = states.get(engine);
    if (on) {
      state.faults.add(kind);
    } else {
      state.faults.remove(kind);
    }
  }

  void setWay(int gateway, SoakFault.Kind kind, boolean on) {
    if (on) {
      ways.get(gateway).add(kind);
    } else {
      ways.get(gateway).remove(kind);
    }
  }

  /** Its process is gone: connections are reset, and so are new ones. */
  void down(int engine) {
    states.get(engine).down = true;
    states.get(engine).open.forEach(Connection::reset);
  }

  /** A new process takes its place, at the same address. */
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
            daemon(connection::converse, "engine");
          }
        }
        selector.selectedKeys().clear();
      } catch (IOException | java.nio.channels.ClosedSelectorException e) {
        // One that was reset as it came, or the end.
      }
    }
  }

  private static void daemon(Runnable work, String name) {
    Thread thread = new Thread(null, work, name, STACK);
    thread.setDaemon(true);
    thread.start();
  }

  /** A gateway's connection to an engine. */
  private final class Connection {
    private final Socket socket;
    private final Port port;
    private final State state;
    private final Set<String> running = ConcurrentHashMap.newKeySet();
    private volatile boolean served;

    Connection(Socket socket, Port port) {
      this.socket = socket;
      this.port = port;
      state = states.get(port.engine);
    }

    void converse() {
      state.open.add(this);
      try (socket) {
        if (state.down || state.faults.contains(SoakFault.Kind.ENGINE_RESETS) && chance(0.3)) {
          reset();
          return;
        }
        socket.setTcpNoDelay(true);
        EngineCommandParser commands = new EngineCommandParser();
        InputStream in = socket.getInputStream();
        byte[] piece = new byte[PIECE];
        for (int n = in.read(piece); n >= 0; n = in.read(piece)) {
          double at = clock.now();
          commands.feed(Arrays.copyOf(piece, n));
          for (Command command = commands.next(); command != null; command = commands.next()) {
            take(command, at);
          }
        }
      } catch (IOException | IllegalArgumentException e) {
        // It broke; what was out on it is given up.
      } finally {
        state.open.remove(this);
        running.forEach(id -> oracle.attemptEnded(port.engine, id, SoakOracle.End.GIVEN_UP));
      }
    }

    private void take(Command command, double at) throws IOException {
      switch (command.word()) {
        case WANT -> want(command, at);
        case NEVER_MIND -> {
          if (running.remove(command.id())) {
            oracle.attemptEnded(port.engine, command.id(), SoakOracle.End.GIVEN_UP);
          }
        }
        case THERE -> say(command.id() + " yes - 0\r\n\r\n");
        default -> {}
      }
    }

    private void want(Command command, double at) {
      oracle.attempt(
          new SoakOracle.Attempt(
              command.id(),
              port.gateway,
              port.engine,
              command.requestClass(),
              command.limit(),
              at));
      running.add(command.id());
      double ms = WORK_LEAST_MS + WORK_MORE_MS * draw();
      if (ways.get(port.gateway).contains(SoakFault.Kind.DIAL_LATE) && !served) {
        ms += 700 * draw();
      }
      if (state.faults.contains(SoakFault.Kind.ENGINE_RESETS) && chance(0.3)) {
        later.schedule(this::reset, (long) (ms / 2), TimeUnit.MILLISECONDS);
      }
      later.schedule(() -> end(command), (long) ms, TimeUnit.MILLISECONDS);
    }

    private void end(Command command) {
      if (silent() || !running.contains(command.id())) {
        return;
      }
      boolean refuses = state.faults.contains(SoakFault.Kind.ENGINE_REFUSES) && chance(0.7);
      boolean errs = !refuses && state.faults.contains(SoakFault.Kind.ENGINE_ERRS) && chance(0.7);
      running.remove(command.id());
      oracle.attemptEnded(
          port.engine,
          command.id(),
          refuses ? SoakOracle.End.REFUSED : errs ? SoakOracle.End.ERRED : SoakOracle.End.ANSWERED);
      String row = command.id() + "\t" + port.engine + "\t\n";
      try {
        say(
            refuses
                ? command.id() + " refused - 0\r\n\r\n"
                : errs
                    ? command.id() + " error - 0\r\n\r\n"
                    : command.id() + " ok count=1 " + row.length() + "\r\n" + row + "\r\n");
        served = true;
        if (state.faults.contains(SoakFault.Kind.ENGINE_CLOSES_IDLE) && running.isEmpty()) {
          later.schedule(this::closeIfIdle, (long) (200 * draw()), TimeUnit.MILLISECONDS);
        }
      } catch (IOException e) {
        // It broke under the answer, which is lost.
      }
    }

    private boolean silent() {
      return state.down
          || ways.get(port.gateway).contains(SoakFault.Kind.PARTED)
          || EnumSet.of(SoakFault.Kind.ENGINE_HANGS, SoakFault.Kind.ENGINE_VANISHES).stream()
              .anyMatch(state.faults::contains);
    }

    private void closeIfIdle() {
      if (running.isEmpty()) {
        try {
          socket.close();
        } catch (IOException e) {
          // It is closed.
        }
      }
    }

    private synchronized void say(String text) throws IOException {
      if (!silent()) {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      }
    }

    void reset() {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // It is gone.
      }
    }
  }

  private synchronized double draw() {
    return random.nextDouble();
  }

  private boolean chance(double share) {
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
