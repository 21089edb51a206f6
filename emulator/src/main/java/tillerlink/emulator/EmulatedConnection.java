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
 * An emulated connection from a gateway to an engine. Bytes arrive in order after a delay; those
 * that arrive while the engine is silent are lost.
 */
final class EmulatedConnection implements Channel, ServerConnection {
  // Times in tenths of a millisecond.

  /** The exclusive upper bound of the random extra delay. */
  private static final int MAX_JITTER = 200;

  /** The delay of the confirmation of a write that an injected fault causes. */
  private static final long WRITE_CONFIRMATION_DELAY = 1000;

  /** The extra delay of bytes from the engine that an injected fault causes. */
  private static final long REPLY_DELAY = 3000;

  /** The bytes that replace garbled bytes from the engine. */
  private static final byte[] GARBAGE = "x\r\n".getBytes(StandardCharsets.US_ASCII);

  /** The faults of a connection attempt, numbered as {@link FaultChooser} chooses them. */
  private static final class ConnectFault {
    static final int NONE = 0;
    static final int REFUSED = 1;

    /** The number of choices; by the last one, 2, the connection never opens. */
    static final int COUNT = 3;
  }

  /** The faults of a write to the engine, numbered as {@link FaultChooser} chooses them. */
  private static final class WriteFault {
    static final int RESET_BEFORE = 1;
    static final int RESET_AFTER = 2;
    static final int LOST = 3;

    /** The number of choices, including 0 for no fault. */
    static final int COUNT = 4;
  }

  /** The faults of bytes from the engine, numbered as {@link FaultChooser} chooses them. */
  private static final class ReplyFault {
    static final int RESET = 1;
    static final int DELAYED = 2;
    static final int GARBLED = 3;

    /** The number of choices, including 0 for no fault. */
    static final int COUNT = 4;
  }

  /** The number of choices for the confirmation of a write: 0 for in time, 1 for late. */
  private static final int CONFIRMATION_CHOICES = 2;

  private final EmulatedCluster cluster;
  private final EmulatedGateway gateway;
  private final int incarnation;
  private final Owner owner;
  private final EmulatedEngine engine;
  private final long delay;
  private final AttemptObserver attempts;
  private final EngineProtocolServer engineProtocol;

  /**
   * Parses the bytes of the gateway at the time of the write, with the same parser as the engine's
   * end, which parses them when they arrive.
   */
  private final EngineProtocolServer gatewayView;

  private boolean opened;
  private boolean closed;

  /** Set once bytes of the engine have arrived at the gateway. */
  private boolean receivedByGateway;

  /** Set once bytes to the engine were lost, so that the bytes after them cannot be parsed. */
  private boolean bytesLost;

  /** The arrival time of the last bytes to the engine, which later bytes must not overtake. */
  private long lastArrivalAtEngine;

  /** The arrival time of the last bytes to the gateway, which later bytes must not overtake. */
  private long lastArrivalAtGateway;

  /** The number of writes that have not been confirmed to the gateway. */
  private int unconfirmedWrites;

  /**
   * Starts to connect. The connection opens, or is refused, after a round trip.
   *
   * @param cluster the cluster of both ends
   * @param gateway the gateway that connects
   * @param owner the gateway's handler of the connection
   * @param engine the engine at the address, or null if there is none
   * @param delay the one-way delay, in tenths of a millisecond
   */
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
    } else if (engine.acceptsConnections() && fault == ConnectFault.NONE) {
      opened = true;
      engine.onConnected(this);
      gateway.post(incarnation, owner::onOpened);
      sendToGateway(engineProtocol.takePendingOutput());
    }
  }

  @Override
  public void write(byte[] bytes) {
    if (closed) {
      // The write is ignored, because the gateway is about to learn that the connection has ended.
      return;
    }
    gatewayView.feed(bytes);
    for (Command command = gatewayView.next(); command != null; command = gatewayView.next()) {
      attempts.onCommand(cluster.now(), command);
    }
    if (receivedByGateway) {
      // An attempt above the last stream of a GOAWAY that the gateway has received never runs.
      attempts.onNotExecuted(id -> engineProtocol.isBeyondGoAway(gatewayView, id));
    }
    int fault = cluster.faults().choose("to the engine", WriteFault.COUNT);
    confirmWrite(cluster.faults().choose("confirmation of a write", CONFIRMATION_CHOICES) == 1);
    if (fault == WriteFault.RESET_BEFORE) {
      disconnect(DisconnectReason.RESET);
      return;
    }
    bytesLost |= fault == WriteFault.LOST;
    for (byte[] part : splitAtRandom(bytes)) {
      lastArrivalAtEngine = Math.max(lastArrivalAtEngine, cluster.now() + delay + jitter());
      cluster.timeline.at(lastArrivalAtEngine, () -> arrive(part));
    }
    if (fault == WriteFault.RESET_AFTER) {
      cluster.timeline.at(lastArrivalAtEngine, () -> disconnect(DisconnectReason.RESET));
    }
  }

  /**
   * Confirms a write, possibly late, but never after the end of the connection is reported. Writes
   * are confirmed in order, so one that follows a late one is late as well.
   */
  private void confirmWrite(boolean late) {
    if (!late && unconfirmedWrites == 0) {
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

  /** Draws an extra delay in tenths of a millisecond; 0 if jitter is not enabled. */
  private long jitter() {
    return cluster.deliveryJitter() == null ? 0 : cluster.deliveryJitter().nextInt(MAX_JITTER);
  }

  /** Splits bytes in two at a random place; does not split them if jitter is not enabled. */
  private List<byte[]> splitAtRandom(byte[] bytes) {
    if (cluster.deliveryJitter() == null || bytes.length < 2) {
      return List.of(bytes);
    }
    int split = 1 + cluster.deliveryJitter().nextInt(bytes.length - 1);
    return List.of(Arrays.copyOf(bytes, split), Arrays.copyOfRange(bytes, split, bytes.length));
  }

  /** Handles bytes that arrive at the engine. */
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

  /** Sends bytes of the engine, which reach the gateway after the delay. */
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
    for (byte[] part : bytes.length == 0 ? List.<byte[]>of() : splitAtRandom(sent)) {
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

  /** Ends the connection from the engine's end, which the gateway learns after the delay. */
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

  /**
   * Ends the connection at the gateway's end.
   *
   * @param provesNotExecuted whether it is known that the engine executed none of the attempts
   */
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
    // Nothing to do, because a gateway only pauses reading from its clients.
  }
}
