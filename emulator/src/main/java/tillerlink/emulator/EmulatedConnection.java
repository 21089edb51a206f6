package tillerlink.emulator;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import tillerlink.fakes.EngineCommands.Command;
import tillerlink.fakes.EngineReplies;
import tillerlink.fakes.LineProtocolServer;
import tillerlink.fleet.Kind;
import tillerlink.net.state.Channel;
import tillerlink.net.state.DisconnectReason;

/**
 * A connection from a gateway to an engine: bytes take a while, in order; a machine that is silent
 * swallows them.
 */
final class EmulatedConnection implements Channel, Peer {
  private static final int LATE_MOST = 200;
  private static final long WORD_LATE = 1000;
  private static final long SAID_LATE = 3000;

  private final World world;
  private final EmulatedGateway seat;
  private final int life;
  private final Owner owner;
  private final EmulatedEngine engine;
  private final long delay;
  private final AttemptObserver attempts;
  private final LineProtocolServer side;

  /** What goes out at the gateway: the same reader as at the other end. */
  private final LineProtocolServer outgoing;

  private boolean up;
  private boolean over;

  /** Something that the engine said has come to the gateway. */
  private boolean heard;

  /** Bytes were swallowed on the way: what follows makes no sense any more. */
  private boolean lost;

  /** When the last that is on its way arrives, each way: nothing overtakes it. */
  private long outAt;

  /** Writes that have gone out and of which the gateway was not told. */
  private int untold;

  private long inAt;

  EmulatedConnection(
      World world, EmulatedGateway seat, Owner owner, EmulatedEngine engine, long delay) {
    this.world = world;
    this.seat = seat;
    this.owner = owner;
    this.engine = engine;
    this.delay = delay;
    life = seat.life();
    Kind kind = engine == null ? null : world.fleet.kinds().get(engine.spec.kind());
    side = kind == null ? new LineProtocolServer.Lines() : world.sides.apply(engine.spec);
    outgoing = kind == null ? new LineProtocolServer.Lines() : kind.side();
    attempts =
        new AttemptObserver(world.auditor, seat.place, engine == null ? "?" : engine.spec.name());
    world.timeline.at(world.now() + 2 * delay, this::comeUp);
  }

  private void comeUp() {
    if (over) {
      return;
    }
    int way = world.choices.choose("connect", 3);
    if (engine == null || engine.isEnded() || way == 1) {
      cut(DisconnectReason.REFUSED);
    } else if (engine.takesConnections() && way == 0) {
      up = true;
      engine.connected(this);
      seat.post(life, owner::onOpened);
      travel(side.owed());
    }
  }

  @Override
  public void write(byte[] bytes) {
    if (over) {
      // It has ended, and the gateway is about to hear of that: nothing goes out any more.
      return;
    }
    outgoing.feed(bytes);
    for (Command command = outgoing.next(); command != null; command = outgoing.next()) {
      attempts.goesOut(world.now(), command);
    }
    if (heard) {
      // What the engine had said before that it will not take surely never runs, though it crossed
      // its word.
      attempts.disowned(id -> side.leftBehind(outgoing, id));
    }
    int way = world.choices.choose("to the engine", 4);
    tellWritten(world.choices.choose("word of a write", 2) == 1);
    if (way == 1) {
      cut(DisconnectReason.RESET);
      return;
    }
    lost |= way == 3;
    for (byte[] part : parts(bytes)) {
      outAt = Math.max(outAt, world.now() + delay + late());
      world.timeline.at(outAt, () -> arrive(part));
    }
    if (way == 2) {
      world.timeline.at(outAt, () -> cut(DisconnectReason.RESET));
    }
  }

  /** Word of a write may wait a while, but never until after the word of the connection's end. */
  private void tellWritten(boolean later) {
    if (!later && untold == 0) {
      seat.post(life, owner::onWritten);
      return;
    }
    untold++;
    world.timeline.at(world.now() + WORD_LATE, this::tellUntold);
  }

  private void tellUntold() {
    for (; untold > 0; untold--) {
      seat.post(life, owner::onWritten);
    }
  }

  private long late() {
    return world.mischief == null ? 0 : world.mischief.nextInt(LATE_MOST);
  }

  private List<byte[]> parts(byte[] bytes) {
    if (world.mischief == null || bytes.length < 2) {
      return List.of(bytes);
    }
    int split = 1 + world.mischief.nextInt(bytes.length - 1);
    return List.of(Arrays.copyOf(bytes, split), Arrays.copyOfRange(bytes, split, bytes.length));
  }

  private void arrive(byte[] bytes) {
    if (over) {
      return;
    }
    if (engine.isSilent()) {
      lost = true;
      return;
    }
    if (lost) {
      cut(DisconnectReason.RESET);
      return;
    }
    side.feed(bytes);
    try {
      for (Command command = side.next(); command != null; command = side.next()) {
        engine.heard(this, command);
      }
    } catch (IllegalArgumentException e) {
      cut(DisconnectReason.CLOSED_BY_PEER);
    }
    side.disowned().forEach(attempts::disowned);
    travel(side.owed());
  }

  private void travel(byte[] bytes) {
    int way = bytes.length == 0 ? 0 : world.choices.choose("from the engine", 4);
    if (way == 1) {
      cut(DisconnectReason.RESET);
      return;
    }
    byte[] said = way == 3 ? "x\r\n".getBytes(StandardCharsets.US_ASCII) : bytes;
    inAt = way == 2 ? Math.max(inAt, world.now()) + SAID_LATE : inAt;
    for (byte[] part : bytes.length == 0 ? List.<byte[]>of() : parts(said)) {
      inAt = Math.max(inAt, world.now() + delay + late());
      world.timeline.at(
          inAt,
          () -> {
            heard = true;
            attempts.disowned(id -> side.leftBehind(outgoing, id));
            seat.post(
                life,
                () -> {
                  if (!over) {
                    owner.onBytes(part);
                  }
                });
          });
    }
  }

  /** It reaches the gateway a while later. */
  @Override
  public void say(EngineReplies what) {
    travel(side.say(what));
    world.timeline.at(
        Math.max(inAt, world.now() + delay),
        () -> {
          if (!over) {
            attempts.comesBack(what);
          }
        });
  }

  /** The gateway hears of it a while later. */
  @Override
  public void cut(DisconnectReason how) {
    if (!over) {
      world.timeline.at(
          Math.max(inAt, world.now() + delay),
          () -> {
            if (!over) {
              tellUntold();
              end(how == DisconnectReason.REFUSED);
              seat.post(life, () -> owner.onClosed(how));
            }
          });
    }
  }

  private void end(boolean provesNotExecuted) {
    over = true;
    seat.forget(this);
    attempts.disowned(id -> side.leftBehind(outgoing, id));
    attempts.ended(provesNotExecuted);
    if (up) {
      engine.disconnected(this);
    }
  }

  @Override
  public void close() {
    abort();
  }

  @Override
  public void abort() {
    if (!over) {
      end(!up);
    }
  }

  @Override
  public void pauseReading(boolean held) {
    // Only clients are held.
  }
}
