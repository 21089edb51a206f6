package tillerlink.peering;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.cluster.Invariant;
import tillerlink.cluster.KeyValueStore;
import tillerlink.cluster.MessageSender;
import tillerlink.members.Identity;
import tillerlink.members.Members;
import tillerlink.members.config.MembershipConfig;
import tillerlink.messages.envelope.Envelope;
import tillerlink.messages.envelope.EnvelopeCodec;
import tillerlink.messages.envelope.Inbox;
import tillerlink.messages.envelope.Outbox;
import tillerlink.messages.envelope.Refusal;
import tillerlink.messages.envelope.Seal;
import tillerlink.net.state.GatewayExtension;
import tillerlink.net.wire.GatewayConfig;
import tillerlink.net.wire.HttpRequest;
import tillerlink.net.wire.HttpResponse;
import tillerlink.peering.component.ComponentContext;
import tillerlink.peering.component.ComponentFactory;
import tillerlink.peering.component.HostedComponent;
import tillerlink.peering.io.Datagrams;
import tillerlink.peering.members.MembersHttpHandler;
import tillerlink.peering.storage.DisabledKeyValueStore;
import tillerlink.peering.storage.DiskKeyValueStore;
import tillerlink.peering.storage.PrefixedKeyValueStore;

/**
 * What this gateway shares with others, on its process: feeds members and the other parts with
 * messages, calls and time, all in turns of the gateway's one thread. Before anything that waited
 * it tells them if the process had been away.
 */
public final class Peering implements GatewayExtension {
  private static final Logger LOG = LoggerFactory.getLogger(Peering.class);

  /** A turn is taken that often though nothing comes, so that a pause of the process shows. */
  private static final long BEAT = 1000;

  /** Nothing done for so much longer than that: the process was away. */
  private static final long AWAY_LEAST = 2000;

  private static final String INCARNATION = "incarnation";
  private static final String FOLDER = "shared";
  private static final long WALL_PER_MS = 10;
  private static final long COME_BACK_MS = 1000;

  private final PeeringConfig sharing;
  private final GatewayConfig assignment;
  private final Consumer<Runnable> turns;
  private final LongSupplier clock;
  private final Watchdog watchdog = new Watchdog();
  private final MembershipLogger journal = new MembershipLogger();
  private final List<HostedComponent> parts = new ArrayList<>();
  private final Outbox outbox;
  private final Inbox inbox;
  private final KeyValueStore keep;
  private final Members members;
  private final AddressBook book;
  private Datagrams datagrams;
  private long now;

  /** Something was told to the parts that they have not had a turn for. */
  private boolean stirred = true;

  /** What makes it when a gateway starts. */
  public static GatewayExtension.Factory factory(
      PeeringConfig sharing, List<ComponentFactory> others) {
    return (assignment, door, turns, clock) ->
        new Peering(sharing, others, assignment, door, turns, clock);
  }

  private Peering(
      PeeringConfig sharing,
      List<ComponentFactory> others,
      GatewayConfig assignment,
      GatewayExtension.ExtensionContext door,
      Consumer<Runnable> turns,
      LongSupplier clock)
      throws IOException {
    this.sharing = sharing;
    this.assignment = assignment;
    this.turns = turns;
    this.clock = clock;
    now = clock.getAsLong();
    SecureRandom chance = new SecureRandom();
    long life = chance.nextLong() | 1;
    EnvelopeCodec codec =
        new EnvelopeCodec(
            sharing.fleet(), sharing.secret() == null ? null : Seal.of(sharing.secret()));
    outbox = new Outbox(codec, assignment.name(), life);
    inbox =
        new Inbox(codec, assignment.name(), life, MessageSender.MAX_MESSAGE_BYTES, journal::line);
    keep =
        sharing.folder() == null
            ? new DisabledKeyValueStore()
            : DiskKeyValueStore.open(
                sharing.folder().resolve(assignment.name()).resolve(FOLDER),
                assignment.name(),
                sharing.keepMost(),
                this::later);
    members = members(new SplittableRandom(chance.nextLong()));
    book = new AddressBook(sharing.reach(), members::address);
    parts.add(new MembersHttpHandler(members, inbox.refused()));
    for (ComponentFactory other : others) {
      parts.add(
          other.attach(
              new ComponentContext(
                  assignment.name(),
                  sharing.site(),
                  members,
                  post(other.number()),
                  new PrefixedKeyValueStore(keep, other.name()),
                  new SplittableRandom(chance.nextLong()),
                  new WatchedExtensionContext(door, watchdog),
                  clock)));
    }
    datagrams = new Datagrams(sharing.listen(), Envelope.MAX_DATAGRAM_BYTES, turns, this::came);
    LOG.info(
        "{} of fleet {} at site {} is reached by other gateways on {}",
        assignment.name(),
        sharing.fleet(),
        sharing.site(),
        sharing.listen());
  }

  private Members members(SplittableRandom random) {
    KeyValueStore own = new PrefixedKeyValueStore(keep, MembersHttpHandler.NAME);
    byte[] kept = own.initialEntries().get(INCARNATION);
    long before = kept == null || kept.length != Long.BYTES ? 0 : ByteBuffer.wrap(kept).getLong();
    Identity identity =
        new Identity(
            sharing.fleet(),
            assignment.name(),
            sharing.site(),
            sharing.listen(),
            sharing.seeds(),
            before);
    return new Members(
        identity,
        periods(),
        (address, body) -> send(book.instead(address), MembersHttpHandler.NUMBER, body),
        random,
        journal.watching(
            () -> now,
            incarnation ->
                own.set(
                    INCARNATION,
                    ByteBuffer.allocate(Long.BYTES).putLong(incarnation).array(),
                    null)),
        wall());
  }

  /** All that follows from how often members are probed goes with it. */
  private MembershipConfig periods() {
    MembershipConfig usual = MembershipConfig.usual();
    double share = (double) sharing.probeEvery() / usual.probeInterval();
    return new MembershipConfig(
        sharing.probeEvery(),
        scaled(usual.probeTimeout(), share),
        scaled(usual.maxProbeTimeout(), share),
        usual.indirectProbes(),
        usual.suspicionMultiplier(),
        usual.maxSuspicionMultiplier(),
        usual.confirmations(),
        scaled(usual.gossipInterval(), share),
        usual.gossipFanout(),
        usual.retransmitMultiplier(),
        scaled(usual.reconnectInterval(), share),
        scaled(usual.antiEntropyInterval(), share),
        usual.maxUpdateAge(),
        usual.forgetAfter(),
        usual.maxLocalHealthScore(),
        usual.maxMembers());
  }

  private static long scaled(long span, double share) {
    return Math.max(1, Math.round(span * share));
  }

  // ---- messages ----

  private MessageSender post(int part) {
    return (to, body) -> {
      String address = members.yielded() ? "" : book.of(to);
      if (!address.isEmpty()) {
        send(address, part, body);
      }
    };
  }

  private void send(String address, int part, byte[] body) {
    Invariant.holds(
        body.length <= MessageSender.MAX_MESSAGE_BYTES,
        () -> "a message of " + body.length + " bytes to " + address);
    if (datagrams == null || body.length > MessageSender.MAX_MESSAGE_BYTES) {
      return;
    }
    for (byte[] datagram : outbox.datagrams(part, body)) {
      datagrams.send(address, datagram);
    }
  }

  /** A datagram came. */
  private void came(String from, byte[] datagram) {
    watched(
        () -> {
          Inbox.Message message = inbox.take(now, from, datagram);
          if (message == null) {
            return;
          }
          for (HostedComponent part : parts) {
            if (part.number() == message.part()) {
              part.machine().onMessage(now, wall(), message.sender(), message.body());
              return;
            }
          }
          inbox.refuse(now, from, Refusal.NO_PART);
        });
  }

  // ---- turns ----

  private static long wall() {
    return System.currentTimeMillis() * WALL_PER_MS;
  }

  /** Something for a later turn, from any thread. */
  private void later(Runnable what) {
    turns.accept(() -> watched(what));
  }

  /** All that reaches the parts goes this way: first they hear of it if the process was away. */
  private void watched(Runnable what) {
    watchdog.run(
        () -> {
          notice();
          stirred = true;
          what.run();
        });
  }

  private void notice() {
    long before = now;
    now = Math.max(now, clock.getAsLong());
    if (now - before > BEAT + AWAY_LEAST) {
      stirred = true;
      parts.forEach(part -> part.machine().onPause(now, wall(), now - before));
    }
  }

  @Override
  public void beginIteration(long clockNow) {
    watchdog.run(this::notice);
  }

  @Override
  public void endIteration(long clockNow) {
    watchdog.run(
        () -> {
          notice();
          for (HostedComponent part : parts) {
            if (stirred || now >= part.machine().nextDueAt()) {
              part.machine().tick(now, wall());
            }
            part.settled(now, wall());
          }
          stirred = false;
        });
  }

  @Override
  public long nextDueAt() {
    long dueAt = now + BEAT;
    for (HostedComponent part : parts) {
      dueAt = Math.min(dueAt, part.machine().nextDueAt());
    }
    return dueAt;
  }

  // ---- clients ----

  @Override
  public boolean handlesPath(String path) {
    return part(path) != null;
  }

  private HostedComponent part(String path) {
    for (HostedComponent part : parts) {
      if (part.takes(path)) {
        return part;
      }
    }
    return null;
  }

  @Override
  public void onRequest(HttpRequest call, Reply reply) {
    HostedComponent part = part(call.path());
    watched(
        () -> {
          if (members.yielded() && part.number() != MembersHttpHandler.NUMBER) {
            reply.answer(HttpResponse.problem(503, "Yielded", COME_BACK_MS));
          } else {
            part.called(now, wall(), call, reply);
          }
        });
  }

  // ---- the end ----

  @Override
  public void onDrain() {
    watched(() -> parts.forEach(part -> part.drain(now, wall())));
  }

  @Override
  public void onShutdownDeadline() {
    watched(() -> parts.forEach(part -> part.timeUp(now, wall())));
  }

  /** What parts say last goes out with the call, as all datagrams do. */
  @Override
  public void close() {
    watched(() -> parts.forEach(part -> part.close(now, wall())));
    datagrams.close();
    if (keep instanceof DiskKeyValueStore disk) {
      try {
        disk.close();
      } catch (IOException e) {
        LOG.warn("what is kept was not closed: {}", e.toString());
      }
    }
  }
}
