package tillerlink.emulator;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import tillerlink.fakes.NameAnswer;
import tillerlink.model.Engine.Status;
import tillerlink.net.state.Channel;
import tillerlink.net.state.Gateway;
import tillerlink.net.state.GatewayExtension;
import tillerlink.net.state.NetworkDriver;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.port.DispatchPolicyFactory;
import tillerlink.telemetry.Telemetry;

/**
 * A real gateway, its state and its module, on a driver in memory: what comes at one moment is told
 * in one turn, in the order in which it came, as by the turn thread of a process.
 */
public final class EmulatedGateway implements NetworkDriver {
  private static final long NAME_DELAY = 5;
  private static final long BYTES_MOST = 16L << 20;

  final int place;
  private final World world;
  private final DispatchPolicyFactory modules;
  private final Random seeds;
  private Gateway gateway;
  private List<Runnable> inbox = new ArrayList<>();
  private List<Runnable> spare = new ArrayList<>();
  private boolean turnDue;
  private long armedFor = Long.MAX_VALUE;
  private int life;
  private final Set<EmulatedConnection> links = new LinkedHashSet<>();

  EmulatedGateway(World world, int place, DispatchPolicyFactory modules, long seed) {
    this.world = world;
    this.place = place;
    this.modules = modules;
    seeds = new Random(seed * 1_000_003 + place);
    start();
  }

  /** Comes up with no memory of what was before. */
  void start() {
    life++;
    inbox.clear();
    turnDue = false;
    armedFor = Long.MAX_VALUE;
    if (!world.namesDown()) {
      told(world.list());
    }
    gateway =
        new Gateway(
            world.fleet.assignment(place, seeds.nextLong(), world.requestClasses, world.news()),
            modules,
            this,
            world.now(),
            BYTES_MOST,
            world.fleet.transports(),
            world.endpointCaches.apply(place),
            Telemetry.silent());
    post(() -> {});
  }

  /** Puts something beside the module, until it is killed. */
  public void beside(Function<GatewayExtension.ExtensionContext, GatewayExtension> made) {
    gateway.setExtension(made.apply(gateway.extensionContext()));
  }

  /** Killed outright: what it would still have done does not happen. */
  void kill() {
    life++;
    gateway = null;
    List.copyOf(links).forEach(EmulatedConnection::abort);
  }

  /** Connections to engines that it counts as open or coming up. */
  public int links() {
    return gateway.openConnections();
  }

  public boolean isUp() {
    return gateway != null;
  }

  /** A client connects. */
  public Channel.Owner accept(Channel channel) {
    return gateway.onClientConnected(channel);
  }

  /** Counts its starts and ends: what was meant for one that was killed does not reach the next. */
  public int life() {
    return life;
  }

  /** Its connections to engines, as these see them. */
  public List<Peer> connections() {
    return List.copyOf(links);
  }

  void forget(EmulatedConnection link) {
    links.remove(link);
  }

  /** Something has come for it in that life. */
  public void post(int of, Runnable event) {
    if (of == life) {
      post(event);
    }
  }

  /** Something has come for it; it is told in the turn of this moment. */
  private void post(Runnable event) {
    if (gateway == null) {
      return;
    }
    inbox.add(event);
    if (!turnDue) {
      turnDue = true;
      int of = life;
      world.timeline.at(world.now(), () -> turn(of));
    }
  }

  private void turn(int of) {
    if (of != life || gateway == null) {
      return;
    }
    turnDue = false;
    if (world.meter != null) {
      world.meter.turnBegins();
    }
    gateway.beginIteration(world.now());
    List<Runnable> events = inbox;
    inbox = spare;
    for (Runnable event : events) {
      event.run();
    }
    events.clear();
    spare = events;
    gateway.endIteration();
    if (world.meter != null) {
      world.meter.turnEnds();
    }
    world.turns++;
    arm();
  }

  private void arm() {
    long due = gateway.dueAt();
    if (due <= world.now()) {
      post(() -> {});
    } else if (due < armedFor || armedFor <= world.now()) {
      armedFor = due;
      int of = life;
      world.timeline.at(due, () -> wake(of, due));
    }
  }

  private void wake(int of, long due) {
    if (of == life && gateway != null && armedFor == due) {
      armedFor = Long.MAX_VALUE;
      post(() -> {});
    }
  }

  @Override
  public Channel connect(InetSocketAddress to, Channel.Owner owner) {
    EmulatedConnection link =
        new EmulatedConnection(world, this, owner, world.at(to), world.delay(place, to));
    links.add(link);
    return link;
  }

  @Override
  public void sendDiscoveryQuery(byte[] datagram) {
    int id = (datagram[0] & 255) << 8 | datagram[1] & 255;
    int of = life;
    world.timeline.at(
        world.now() + NAME_DELAY,
        () -> {
          byte[] answer = world.nameAnswer();
          if (of == life && answer != null) {
            told(world.list());
            world.timeline.at(
                world.now() + NAME_DELAY,
                () -> {
                  if (of == life) {
                    post(() -> gateway.onDiscoveryDatagram(NameAnswer.to(id, answer)));
                  }
                });
          }
        });
  }

  private void told(List<EndpointEntry> list) {
    for (EndpointEntry entry : list) {
      if (entry.standing() != Status.READY) {
        world.auditor.withdrawn(world.now(), place, entry.id());
      }
    }
  }

  @Override
  public void flush() {
    // What was written is already on its way.
  }
}
