package tillerlink.emulator;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import tillerlink.fakes.EngineCommandParser.Command;
import tillerlink.fakes.EngineProtocolServer;
import tillerlink.fakes.EngineReply;
import tillerlink.fakes.LineProtocolServer;
import tillerlink.fleet.EngineKind;
import tillerlink.net.state.Channel;
import tillerlink.net.state.DisconnectReason;

/**
 * A connection from a gateway to an engine. Bytes arrive in order after a delay; an engine that is
 * silent loses them.
 */
final class EmulatedConnection implements Channel, ServerConnection {
  // Times in tenths of a millisecond.
  private static final int MAX_JITTER = 200;
  private static final long WRITE_CONFIRMATION_DELAY = 1000;
  private static final long REPLY_DELAY = 3000;

  private static final byte[] GARBAGE = "x\r\n".getBytes(StandardCharsets.US_ASCII);

  /** Faults of a connect; the number is the choice of {@link FaultChooser}. */
  private static final class ConnectFault {
    static final int NONE = 0;
    static final int REFUSED = 1;

    /** How many choices there are; the last one is that the connection never opens. */
    static final int COUNT = 3;
  }

  /** Faults of a write to the engine; the number is the choice of {@link FaultChooser}. */
  private static final class WriteFault {
    static final int RESET_BEFORE = 1;
    static final int RESET_AFTER = 2;
    static final int LOST = 3;
    static final int COUNT = 4;
  }

  /** Faults of bytes from the engine; the number is the choice of {@link FaultChooser}. */
  private static final class ReplyFault {
    static final int RESET = 1;
    static final int DELAYED = 2;
    static final int GARBLED = 3;
    static final int COUNT = 4;
  }

  /** Choices on the confirmation of a write: whether it is late. */
  private static final int CONFIRMATION_CHOICES = 2;

  private final EmulatedCluster cluster;
  private final EmulatedGateway gateway;
  private final int incarnation;
  private final Owner owner;
  private final EmulatedEngine engine;
  private final long delay;
  private final AttemptObserver attempts;
  private final EngineProtocolServer engineProtocol;

  /** Parses what the gateway writes, with the same parser as the engine's end. */
  private final EngineProtocolServer gatewayView;

  private boolean opened;
  private boolean closed;

  /** Bytes of the engine have arrived at the gateway. */
  private boolean receivedByGateway;

  /** Bytes to the engine were lost, so that what follows can't be parsed. */
  private boolean bytesLost;

  /** When the last bytes under way to the engine arrive; later ones don't overtake them. */
  private long lastArrivalAtEngine;

  /** When the last bytes under way to the gateway arrive. */
  private long lastArrivalAtGateway;

  /** Writes that the driver has not confirmed to the gateway. */
  private int unconfirmedWrites;

  EmulatedConnection(
      EmulatedCluster cluster,
      EmulatedGateway gateway,
      Owner owner,
      EmulatedEngine engine,
      long delay) {
    this.cluster = cluster;
    this.gateway = gateway;
    this.owner = owner;
    this.engine = engine;
    this.delay = delay;
    incarnation = gateway.incarnation();
    EngineKind kind = engine == null ? null : cluster.fleet.kinds().get(engine.spec.kind());
    engineProtocol =
        kind == null ? new LineProtocolServer() : cluster.newProtocolServer(engine.spec);
    gatewayView = kind == null ? new LineProtocolServer() : kind.newServer();
    attempts =
        new AttemptObserver(
            cluster.auditor, gateway.index, engine == null ? "?" : engine.spec.name());
    cluster.timeline.at(cluster.now() + 2 * delay, this::open);
  }

  private void open() {
    if (closed) {
      return;
    }
    int fault = cluster.faults().choose("connect", ConnectFault.COUNT);
    if (engine == null || engine.isEnded() || fault == ConnectFault.REFUSED) {
      disconnect(DisconnectReason.REFUSED);
    } else if (engine.takesConnections() && fault == ConnectFault.NONE) {
      opened = true;
      engine.onConnected(this);
      gateway.post(incarnation, owner::onOpened);
      sendToGateway(engineProtocol.takePendingOutput());
    }
  }

  @Override
  public void write(byte[] bytes) {
    if (closed) {
      // The gateway is about to learn that the connection has ended.
      return;
    }
    gatewayView.feed(bytes);
    for (Command command = gatewayView.next(); command != null; command = gatewayView.next()) {
      attempts.onCommand(cluster.now(), command);
    }
    if (receivedByGateway) {
      // An attempt beyond a GOAWAY that the gateway has received never runs.
      attempts.onNotExecuted(id -> engineProtocol.isBeyondGoAway(gatewayView, id));
    }
    int fault = cluster.faults().choose("to the engine", WriteFault.COUNT);
    confirmWrite(cluster.faults().choose("word of a write", CONFIRMATION_CHOICES) == 1);
    if (fault == WriteFault.RESET_BEFORE) {
      disconnect(DisconnectReason.RESET);
      return;
    }
    bytesLost |= fault == WriteFault.LOST;
    for (byte[] part : parts(bytes)) {
      lastArrivalAtEngine = Math.max(lastArrivalAtEngine, cluster.now() + delay + jitter());
      cluster.timeline.at(lastArrivalAtEngine, () -> arrive(part));
    }
    if (fault == WriteFault.RESET_AFTER) {
      cluster.timeline.at(lastArrivalAtEngine, () -> disconnect(DisconnectReason.RESET));
    }
  }

  /** Confirms a write, possibly late, but never after the end of the connection is reported. */
  private void confirmWrite(boolean later) {
    if (!later && unconfirmedWrites == 0) {
      gateway.post(incarnation, owner::onWritten);
      return;
    }
    unconfirmedWrites++;
    cluster.timeline.at(cluster.now() + WRITE_CONFIRMATION_DELAY, this::confirmPendingWrites);
  }

  private void confirmPendingWrites() {
    for (; unconfirmedWrites > 0; unconfirmedWrites--) {
      gateway.post(incarnation, owner::onWritten);
    }
  }

  private long jitter() {
    return cluster.deliveryJitter() == null ? 0 : cluster.deliveryJitter().nextInt(MAX_JITTER);
  }

  private List<byte[]> parts(byte[] bytes) {
    if (cluster.deliveryJitter() == null || bytes.length < 2) {
      return List.of(bytes);
    }
    int split = 1 + cluster.deliveryJitter().nextInt(bytes.length - 1);
    return List.of(Arrays.copyOf(bytes, split), Arrays.copyOfRange(bytes, split, bytes.length));
  }

  private void arrive(byte[] bytes) {
    if (closed) {
      return;
    }
    if (engine.isSilent()) {
      bytesLost = true;
      return;
    }
    if (bytesLost) {
      disconnect(DisconnectReason.RESET);
      return;
    }
    engineProtocol.feed(bytes);
    try {
      for (Command command = engineProtocol.next();
          command != null;
          command = engineProtocol.next()) {
        engine.onCommand(this, command);
      }
    } catch (IllegalArgumentException e) {
      disconnect(DisconnectReason.CLOSED_BY_PEER);
    }
    engineProtocol.takeNotExecuted().forEach(attempts::onNotExecuted);
    sendToGateway(engineProtocol.takePendingOutput());
  }

  private void sendToGateway(byte[] bytes) {
    int fault =
        bytes.length == 0 ? 0 : cluster.faults().choose("from the engine", ReplyFault.COUNT);
    if (fault == ReplyFault.RESET) {
      disconnect(DisconnectReason.RESET);
      return;
    }
    byte[] sent = fault == ReplyFault.GARBLED ? GARBAGE : bytes;
    lastArrivalAtGateway =
        fault == ReplyFault.DELAYED
            ? Math.max(lastArrivalAtGateway, cluster.now()) + REPLY_DELAY
            : lastArrivalAtGateway;
    for (byte[] part : bytes.length == 0 ? List.<byte[]>of() : parts(sent)) {
      lastArrivalAtGateway = Math.max(lastArrivalAtGateway, cluster.now() + delay + jitter());
      cluster.timeline.at(
          lastArrivalAtGateway,
          () -> {
            receivedByGateway = true;
            attempts.onNotExecuted(id -> engineProtocol.isBeyondGoAway(gatewayView, id));
            gateway.post(
                incarnation,
                () -> {
                  if (!closed) {
                    owner.onBytes(part);
                  }
                });
          });
    }
  }

  /** Sends a reply, which reaches the gateway after the delay. */
  @Override
  public void reply(EngineReply reply) {
    sendToGateway(engineProtocol.encode(reply));
    cluster.timeline.at(
        Math.max(lastArrivalAtGateway, cluster.now() + delay),
        () -> {
          if (!closed) {
            attempts.onReply(reply);
          }
        });
  }

  /** Breaks the connection, which the gateway learns after the delay. */
  @Override
  public void disconnect(DisconnectReason reason) {
    if (!closed) {
      cluster.timeline.at(
          Math.max(lastArrivalAtGateway, cluster.now() + delay),
          () -> {
            if (!closed) {
              confirmPendingWrites();
              end(reason == DisconnectReason.REFUSED);
              gateway.post(incarnation, () -> owner.onClosed(reason));
            }
          });
    }
  }

  private void end(boolean provesNotExecuted) {
    closed = true;
    gateway.forget(this);
    attempts.onNotExecuted(id -> engineProtocol.isBeyondGoAway(gatewayView, id));
    attempts.onConnectionEnded(provesNotExecuted);
    if (opened) {
      engine.onDisconnected(this);
    }
  }

  @Override
  public void close() {
    abort();
  }

  @Override
  public void abort() {
    if (!closed) {
      end(!opened);
    }
  }

  @Override
  public void pauseReading(boolean paused) {
    // Only reading from clients is ever paused.
  }
}
